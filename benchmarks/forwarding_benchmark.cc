// Datagrams per second through one balancer thread, compared with a plain UDP
// relay in the same run. Both are measured with one sender, one forwarder and
// one sink thread, all on loopback, for a fixed time.

#include <docopt/docopt.h>
#include <time.h>

#include <atomic>
#include <iostream>
#include <thread>

#include "cowslip/daemon/balancer_loop.h"

namespace {

using namespace cowslip;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kUsage[] =
    R"(Forwarding throughput compared with a plain UDP relay.

Usage:
  forwarding_benchmark [--rounds N] [--milliseconds N] [--payload-bytes N]

Options:
  --rounds N         Rounds; each measures relay and balancer [default: 5].
  --milliseconds N   Length of each measurement [default: 1000].
  --payload-bytes N  Size of a caller's datagram [default: 64].
)";

constexpr Endpoint kSink{0x7f3c0001, 7100};
constexpr Endpoint kRelay{0x7f3c0002, 7100};
constexpr Endpoint kServiceAddress{0x7f3c0003, 5683};
constexpr Endpoint kBalancerFrames{0x7f3c0004, 7100};
constexpr int kSenderSockets = 64;

/// Throughput of one forwarder.
struct Throughput {
  double per_second = 0;
  double cpu_ns_per_datagram = 0;
};

std::chrono::nanoseconds ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

link::DatagramSocket Bind(const Endpoint& address) {
  LastReason<link::LinkError> reason;
  auto socket = link::DatagramSocket::Bind(address, reason);
  if (socket) return std::move(*socket);
  std::cerr << reason.Message() << "\n";
  std::exit(1);
}

link::FrameCodec MakeCodec() {
  LastReason<link::LinkError> reason;
  return std::move(*link::FrameCodec::Create(link::FrameKey{}, reason));
}

/// Receives and counts the forwarded datagrams.
class Sink {
 public:
  Sink() : socket_(Bind(kSink)), thread_([this] { Run(); }) {}
  ~Sink() {
    stopping_ = true;
    thread_.join();
  }
  std::uint64_t count() const { return count_; }

 private:
  void Run() {
    link::ReceiveBatch batch;
    daemon::Poller poller;
    poller.Add(socket_.fd(), 0);
    while (!stopping_) {
      poller.Wait(milliseconds(10));
      bool refused = false;
      while (const auto received = batch.Receive(socket_, refused)) {
        count_ += received;
        for (std::size_t i = 0; i < received; ++i) AnswerProbe(batch.At(i));
      }
    }
  }

  /// Answers probes as a sidecar does; the balancer would otherwise consider
  /// the upstream unresponsive and stop sending.
  void AnswerProbe(const link::ReceivedDatagram& datagram) {
    constexpr std::size_t kKindOffset = 4;
    const auto payload = datagram.payload;
    if (payload.size() <= kKindOffset ||
        payload[kKindOffset] != static_cast<int>(link::FrameKind::kProbe)) {
      return;
    }
    link::FrameHeader answer;
    answer.kind = link::FrameKind::kProbeAck;
    answer.sender = 1;
    send_.AddFrame(socket_, datagram.from, answer, {}, codec_);
    send_.Flush();
  }

  link::DatagramSocket socket_;
  link::FrameCodec codec_ = MakeCodec();
  link::SendBatch send_;
  std::atomic<std::uint64_t> count_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// The plain UDP relay: receives and forwards in batches.
class Relay {
 public:
  Relay() : socket_(Bind(kRelay)) {}
  void Stop() { stopping_ = true; }

  void Run() {
    link::ReceiveBatch receive;
    link::SendBatch send;
    daemon::Poller poller;
    poller.Add(socket_.fd(), 0);
    while (!stopping_) {
      poller.Wait(milliseconds(10));
      bool refused = false;
      const auto count = receive.Receive(socket_, refused);
      for (std::size_t i = 0; i < count; ++i) {
        send.Add(socket_, kSink, receive.At(i).payload);
      }
      send.Flush();
    }
  }

 private:
  link::DatagramSocket socket_;
  std::atomic<bool> stopping_{false};
};

/// Sends as fast as possible from many caller sockets for the given time.
void SendFor(milliseconds time, const Endpoint& to, std::size_t payload_bytes) {
  std::vector<link::DatagramSocket> callers;
  callers.reserve(kSenderSockets);
  for (int i = 0; i < kSenderSockets; ++i) {
    callers.push_back(Bind({0x7f000001, 0}));
  }
  const Bytes payload(payload_bytes);
  link::SendBatch send;
  const auto end = steady_clock::now() + time;
  while (steady_clock::now() < end) {
    for (const auto& caller : callers) {
      for (int i = 0; i < 16; ++i) send.Add(caller, to, payload);
      send.Flush();
    }
  }
}

/// Measures a forwarder, which has to provide Run() and Stop().
template <typename Forwarder>
Throughput Measure(Forwarder& forwarder, const Sink& sink, milliseconds time,
                   const Endpoint& to, std::size_t payload_bytes) {
  std::chrono::nanoseconds cpu{};
  std::thread thread([&] {
    const auto start = ThreadCpuTime();
    forwarder.Run();
    cpu = ThreadCpuTime() - start;
  });
  std::this_thread::sleep_for(milliseconds(50));
  const auto before = sink.count();
  const auto start = steady_clock::now();
  SendFor(time, to, payload_bytes);
  const std::chrono::duration<double> elapsed = steady_clock::now() - start;
  forwarder.Stop();
  thread.join();
  const auto count = static_cast<double>(sink.count() - before);
  return {count / elapsed.count(), static_cast<double>(cpu.count()) / count};
}

settings::DaemonSettings MakeSettings() {
  settings::DaemonSettings settings;
  settings.balancer.emplace();
  settings.balancer->id = BalancerId(1);
  settings.balancer->frames = kBalancerFrames;
  return settings;
}

void PublishView(daemon::ViewPublisher& views) {
  ticket::Ticket ticket;
  ticket.number = TicketNumber(1);
  ticket::Service service;
  service.id = ServiceId(1);
  service.name = "bench";
  service.address = kServiceAddress;
  ticket.services.push_back(service);
  Upstream upstream;
  upstream.id = UpstreamId(1);
  upstream.service = service.id;
  upstream.sidecar = kSink;
  views.Publish(std::make_shared<membership::View>(
      1, ticket::TicketState::FromSnapshot(ticket),
      std::vector<Upstream>{upstream}));
}

Throughput MeasureRelay(const Sink& sink, milliseconds time,
                        std::size_t bytes) {
  Relay relay;
  return Measure(relay, sink, time, kRelay, bytes);
}

Throughput MeasureBalancer(const Sink& sink, milliseconds time,
                           std::size_t bytes) {
  const auto settings = MakeSettings();
  daemon::ViewPublisher views;
  PublishView(views);
  LastReason<daemon::DaemonError> reason;
  const auto loop = daemon::BalancerLoop::Create(settings, 0, views, reason);
  return Measure(*loop, sink, time, kServiceAddress, bytes);
}

void Print(const char* name, const Throughput& throughput) {
  std::cout << " " << name
            << "_per_s=" << static_cast<std::uint64_t>(throughput.per_second)
            << " " << name << "_cpu_ns="
            << static_cast<std::uint64_t>(throughput.cpu_ns_per_datagram);
}

}  // namespace

int main(int argc, char** argv) {
  auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const auto rounds = arguments["--rounds"].asLong();
  const milliseconds time(arguments["--milliseconds"].asLong());
  const auto bytes =
      static_cast<std::size_t>(arguments["--payload-bytes"].asLong());
  const Sink sink;
  for (auto round = 1; round <= rounds; ++round) {
    const auto relay = MeasureRelay(sink, time, bytes);
    const auto balancer = MeasureBalancer(sink, time, bytes);
    std::cout << "round=" << round << " payload_bytes=" << bytes;
    Print("relay", relay);
    Print("balancer", balancer);
    std::cout << " throughput_ratio=" << balancer.per_second / relay.per_second
              << " cpu_ratio="
              << relay.cpu_ns_per_datagram / balancer.cpu_ns_per_datagram
              << "\n";
  }
}
