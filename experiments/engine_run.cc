#include "experiments/engine_run.h"

#include <algorithm>
#include <cstring>

namespace cowslip::experiments {
namespace {

using coap::Code;
using coap::Message;
using coap::OptionNumber;
using testing::VirtualNetwork;

constexpr ServiceId kService{1};
constexpr Endpoint kAddress{0x7f350001, 5683};
constexpr std::uint32_t kBalancers = 3;
constexpr std::uint32_t kFirstCaller = 0x0a000000;
constexpr std::size_t kFeedTokenBytes = 5;
constexpr std::uint32_t kSidecarNetwork = 0x7f15;
constexpr int kNetworkShift = 16;
/// Time after the last arrival for outstanding responses.
constexpr std::chrono::seconds kDrainTime{30};
/// Time between the registration of a flow's feed and its first request.
constexpr std::chrono::milliseconds kFeedLead{50};
/// Time before the first arrival, longer than the window in which an owner
/// lookup takes recent joins into account.
constexpr std::chrono::seconds kSettleTime{200};

Bytes ToToken(std::uint32_t number) {
  Bytes token(sizeof number);
  std::memcpy(token.data(), &number, sizeof number);
  return token;
}

std::uint32_t FromToken(const Bytes& token) {
  std::uint32_t number = 0;
  std::memcpy(&number, token.data(), sizeof number);
  return number;
}

Bytes Encoded(const Message& message) {
  LastReason<coap::CoapError> reason;
  return coap::Encode(message, reason).value();
}

}  // namespace

EngineRun::EngineRun(const EngineOptions& options, const Deployment& deployment,
                     const Workload& workload)
    : options_(options),
      deployment_(deployment),
      workload_(workload),
      network_(options.seed) {
  result_.policy = options.name;
  ticket::Service service;
  service.id = kService;
  service.name = deployment.name;
  service.address = kAddress;
  service.protocol = ticket::Protocol::kCoap;
  service.prefer = options.prefer;
  service.max_queue = options.max_queue;
  network_.services()[kService] = service;
  for (std::uint32_t id = 1; id <= kBalancers; ++id) {
    engine::BalancerOptions balancer;
    balancer.id = BalancerId(id);
    balancer.hint_capacity = 1 << 14;
    network_.AddBalancer(balancer);
  }
  for (std::size_t i = 0; i < deployment.speeds.size(); ++i) {
    StartUpstream(i, 1);
    auto& member =
        network_.members()[UpstreamId(static_cast<std::uint32_t>(i + 1))];
    member.joined -= std::chrono::minutes(30);
  }
  network_.on_upstream = [this](auto id, auto slot, auto payload) {
    OnUpstream(id, slot, payload);
  };
  network_.on_caller = [this](const auto&, auto payload) { OnCaller(payload); };
  network_.on_frame = [this](const auto& frame, const auto& from) {
    OnFrame(frame, from);
  };
}

void EngineRun::StartUpstream(std::size_t index, std::uint64_t incarnation) {
  engine::SidecarOptions options;
  options.id = UpstreamId(static_cast<std::uint32_t>(index + 1));
  options.service = kService;
  options.incarnation = Incarnation(incarnation);
  options.slots = deployment_.slots;
  options.slow_start = incarnation > 1 ? options_.slow_start : Duration{};
  options.permit_key.fill(static_cast<std::uint8_t>(index + incarnation));
  network_.StartSidecar(options);
  if (index < models_.size()) return;
  const auto& speeds = deployment_.speeds;
  models_.emplace_back(deployment_.slots, speeds[index % speeds.size()]);
}

void EngineRun::Apply(const Change& change) {
  const auto id = UpstreamId(static_cast<std::uint32_t>(change.upstream + 1));
  switch (change.kind) {
    case Change::Kind::kJoin:
      StartUpstream(models_.size(), 1);
      break;
    case Change::Kind::kDrain:
      network_.members()[id].state = UpstreamState::kDraining;
      network_.WithSidecar(id, [](auto& sidecar, auto& effects) {
        sidecar.StartDrain(effects);
      });
      break;
    case Change::Kind::kRestart:
      Restart(change.upstream);
      break;
    case Change::Kind::kTicket:
      network_.services()[kService].max_queue += 1;
      network_.ticket() = TicketNumber(Raw(network_.ticket()) + 1);
      break;
  }
  network_.Publish();
}

void EngineRun::Restart(std::size_t index) {
  const auto speed = models_[index].speed();
  models_[index].SetSpeed(speed * options_.cold_speed);
  StartUpstream(index, 2);
  network_.After(kColdTime,
                 [this, index, speed] { models_[index].SetSpeed(speed); });
}

Result EngineRun::Run() {
  network_.Publish();
  network_.RunFor(kSettleTime);
  start_ = network_.now();
  for (const auto& change : options_.changes) {
    network_.After(change.at, [this, change] { Apply(change); });
  }
  for (std::size_t i = 0; i < workload_.jobs.size(); ++i) {
    network_.After(workload_.jobs[i].arrival, [this, i] { SendJob(i); });
  }
  network_.RunFor(workload_.length + kDrainTime);
  for (const auto& model : models_) {
    result_.capacity.push_back(model.speed());
    result_.utilisation.push_back(std::chrono::duration<double>(model.busy()) /
                                  (workload_.length * model.slots()));
  }
  result_.lost = result_.offered - result_.shed - answered_;
  result_.broken_flows = broken_flows_.size();
  return result_;
}

void EngineRun::SendJob(std::size_t index) {
  ++result_.offered;
  const auto flow = workload_.jobs[index].flow;
  const auto [started, is_new] = flow_starts_.emplace(flow, Elapsed());
  if (is_new) {
    unanswered_flows_.insert(flow);
    ++result_.new_flows;
  }
  if (!options_.feeds) {
    SendPost(index, nullptr);
    return;
  }
  if (is_new) RenewFeed(flow);
  // A caller registers its feed before it sends other requests.
  const auto ready = started->second + kFeedLead;
  network_.After(std::max(Duration{}, ready - Elapsed()), [this, index, flow] {
    RenewFeed(flow);
    SendPost(index, nullptr);
  });
}

void EngineRun::SendPost(std::size_t index, const Bytes* echo) {
  Message post;
  post.code = Code::kPost;
  post.message_id = next_message_id_++;
  post.token = ToToken(static_cast<std::uint32_t>(index));
  if (echo != nullptr) post.SetOption(OptionNumber::kEcho, *echo);
  Send(workload_.jobs[index].flow, post);
}

void EngineRun::RenewFeed(std::uint32_t flow) {
  Message get;
  get.code = Code::kGet;
  get.message_id = next_message_id_++;
  get.token = ToToken(flow);
  get.token.resize(kFeedTokenBytes);
  get.SetUintOption(OptionNumber::kObserve, 0);
  Send(flow, get);
}

void EngineRun::Send(std::uint32_t flow, const Message& message) {
  const auto balancer = static_cast<std::uint32_t>(network_.Draw(kBalancers));
  network_.SendFromCaller(VirtualNetwork::BalancerAt(balancer + 1),
                          {{kFirstCaller + flow, 1}, kAddress},
                          Encoded(message));
}

void EngineRun::OnUpstream(UpstreamId id, flow::FlowSlot slot,
                           ByteView payload) {
  LastReason<coap::CoapError> reason;
  const auto request = coap::Parse(payload, reason);
  if (!request || !request->IsRequest()) return;
  if (request->code != Code::kPost) {
    OnFeed(id, slot, *request);
    return;
  }
  const auto& job = workload_.jobs[FromToken(request->token)];
  const auto service = models_[Raw(id) - 1].Add(job, Elapsed());
  result_.served.push_back({job.arrival, service.wait,
                            Elapsed() - job.arrival + service.wait,
                            service.finish - job.arrival});
  const auto cause = wait_causes_.extract(FromToken(request->token));
  result_.trace.Add(cause ? cause.mapped() : WaitCause::kNoPermit,
                    service.wait);
  auto answer = Encoded(coap::MakeResponse(*request, Code::kContent));
  network_.After(service.finish - Elapsed(),
                 [this, id, slot, answer = std::move(answer)] {
                   network_.SendFromUpstream(id, slot, answer);
                 });
}

void EngineRun::OnFeed(UpstreamId id, flow::FlowSlot slot,
                       const Message& request) {
  const auto flow = FromToken(request.token);
  auto& owners = feeds_[flow];
  // A sidecar to which a feed is handed over registers it at its upstream with
  // a non-confirmable request.
  if (request.type == coap::Type::kNon) {
    owners = {id, owners.current};
  } else if (owners.current == UpstreamId{}) {
    owners.current = id;
  } else if (id != owners.current && id != owners.previous) {
    broken_flows_.insert(flow);
  }
  auto response = coap::MakeResponse(request, Code::kContent);
  response.SetUintOption(OptionNumber::kObserve, 1);
  network_.After(std::chrono::microseconds(1),
                 [this, id, slot, answer = Encoded(response)] {
                   network_.SendFromUpstream(id, slot, answer);
                 });
}

void EngineRun::OnCaller(ByteView payload) {
  LastReason<coap::CoapError> reason;
  const auto response = coap::Parse(payload, reason);
  if (!response || response->token.size() == kFeedTokenBytes) return;
  const auto index = FromToken(response->token);
  unanswered_flows_.erase(workload_.jobs[index].flow);
  const auto* echo = response->FindOption(OptionNumber::kEcho);
  if (echo != nullptr) {
    SendPost(index, &echo->value);
  } else if (response->code == Code::kContent) {
    ++answered_;
  } else {
    ++result_.shed;
  }
}

void EngineRun::OnFrame(const engine::SendFrame& frame, const Endpoint& from) {
  if (frame.header.kind == link::FrameKind::kReply) OnReply(frame);
  if (frame.header.kind != link::FrameKind::kCallerData) return;
  if (from.address >> kNetworkShift != kSidecarNetwork) return;
  const auto flow = frame.header.flow.caller.address - kFirstCaller;
  if (unanswered_flows_.contains(flow)) {
    ++result_.new_flow_hops;
  } else {
    ++result_.other_hops;
  }
}

/// Records the state of the upstreams when a permit is issued.
void EngineRun::OnReply(const engine::SendFrame& frame) {
  LastReason<coap::CoapError> reason;
  const auto response = coap::Parse(frame.payload, reason);
  if (!response || response->FindOption(OptionNumber::kEcho) == nullptr) return;
  std::vector<WaitTrace::UpstreamState> states;
  for (std::size_t i = 0; i < models_.size(); ++i) {
    auto& model = models_[i];
    const auto id = UpstreamId(static_cast<std::uint32_t>(i + 1));
    auto admission = network_.sidecar(id).admission();
    const auto reserved =
        admission.load(network_.now()) - admission.in_progress();
    states.push_back(
        {model.slots(), model.InProgress(Elapsed()), reserved, model.speed()});
  }
  // The permit that is being issued is the latest reservation of its upstream.
  const std::size_t chosen = frame.header.sender - 1;
  if (states[chosen].reserved > 0) --states[chosen].reserved;
  wait_causes_.insert_or_assign(FromToken(response->token),
                                WaitTrace::Classify(states, chosen));
}

}  // namespace cowslip::experiments
