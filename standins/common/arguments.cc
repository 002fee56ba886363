#include "standins/common/arguments.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>

namespace cowslip::standin {

Arguments::Arguments(const char* usage, int argc, char** argv)
    : values_(docopt::docopt(
          usage, std::vector<std::string>(argv + 1, argv + argc))) {}

Arguments::~Arguments() = default;

bool Arguments::Has(const std::string& name) const {
  const auto& value = values_.at(name);
  if (value.isBool()) return value.asBool();
  return static_cast<bool>(value);
}

std::string Arguments::Text(const std::string& name) const {
  const auto& value = values_.at(name);
  if (!value.isString()) Fail("missing " + name);
  return value.asString();
}

std::vector<std::string> Arguments::Texts(const std::string& name) const {
  const auto& value = values_.at(name);
  if (value.isString()) return {value.asString()};
  return value.isStringList() ? value.asStringList()
                              : std::vector<std::string>{};
}

std::uint64_t Arguments::Number(const std::string& name) const {
  const auto text = Text(name);
  char* end = nullptr;
  const auto number = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0') Fail("not a number: " + name + " " + text);
  return number;
}

double Arguments::Probability(const std::string& name) const {
  const auto probability = ParseProbability(Text(name));
  if (!probability) Fail("not a probability: " + name + " " + Text(name));
  return *probability;
}

std::chrono::milliseconds Arguments::Milliseconds(
    const std::string& name) const {
  return std::chrono::milliseconds(Number(name));
}

Endpoint Arguments::Address(const std::string& name) const {
  const auto endpoint = ParseEndpoint(Text(name));
  if (!endpoint) Fail("not an address and port: " + name + " " + Text(name));
  return *endpoint;
}

std::optional<double> ParseProbability(const std::string& text) {
  char* end = nullptr;
  const double number = std::strtod(text.c_str(), &end);
  const bool is_valid =
      !text.empty() && *end == '\0' && number >= 0.0 && number <= 1.0;
  if (!is_valid) return std::nullopt;
  return number;
}

void Fail(const std::string& message) {
  std::cerr << "event=failed reason=\"" << message << "\"\n";
  std::exit(1);
}

}  // namespace cowslip::standin
