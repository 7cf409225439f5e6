// Benchmark for the processor time that relaying tokens over a link takes. Two
// LinkNodes in one process exchange calls over loopback, and the server sends
// small response messages at a fixed total rate. The processor time includes
// both ends.

#include <gflags/gflags.h>

#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibLink/link_node.h"

DEFINE_uint64(streams, 1000, "calls in flight");
DEFINE_uint64(rate, 20000, "response messages per second over all calls");
DEFINE_uint64(bytes, 200, "bytes per message");
DEFINE_uint64(seconds, 10, "duration of the measurement");
DEFINE_uint64(slice_ms, 2, "milliseconds between two batches of messages");

namespace wasabi::link {
namespace {

constexpr uint64_t kMillisecondsPerSecond = 1000;

class LinkBench {
 public:
  // Runs the benchmark. Returns false if a node can't listen.
  bool Start() {
    auto server = MakeNode("127.0.4.1:0", [this](auto call) {
      calls_.push_back(std::move(call));
      if (calls_.size() == FLAGS_streams) {
        StartSending();
      }
    });
    auto client = MakeNode("127.0.4.2:0", [](const auto&) {});
    if (!server.ok() || !client.ok()) {
      return false;
    }
    server_ = std::move(server).value();
    client_ = std::move(client).value();
    for (uint64_t i = 0; i < FLAGS_streams; ++i) {
      client_->Call(server_->address(), CallKind::kSubmitWork, "x",
                    {[this](std::string_view) { ++received_; },
                     [](const absl::Status&) {}});
    }
    loop_.Run();
    return true;
  }

  void Print() const {
    const double seconds = core::ToSeconds(ended_at_ - started_at_);
    const nlohmann::json result = {
        {"streams", FLAGS_streams},
        {"messages_per_second", static_cast<double>(received_) / seconds},
        {"bytes_per_message", FLAGS_bytes},
        {"wire_bytes_per_second",
         static_cast<double>(server_->bytes_sent()) / seconds},
        {"core_share_of_both_ends", processor_seconds_ / seconds},
    };
    fmt::print("{}\n", result.dump());
  }

 private:
  absl::StatusOr<std::unique_ptr<LinkNode>> MakeNode(
      const std::string& address,
      LinkNode::InboundHandler handler) {
    LinkOptions options;
    options.listen_address = core::SocketAddress::Parse(address).value();
    return LinkNode::Create(
        &loop_, options, [](uint32_t) { return true; }, std::move(handler));
  }

  static double ProcessorSeconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
  }

  void StartSending() {
    started_at_ = loop_.Now();
    processor_start_ = ProcessorSeconds();
    timer_ = loop_.NewTimer([this] { SendBatch(); });
    timer_->StartRepeating(core::milliseconds(FLAGS_slice_ms));
  }

  void SendBatch() {
    const core::Duration elapsed = loop_.Now() - started_at_;
    if (elapsed > core::seconds(FLAGS_seconds)) {
      ended_at_ = loop_.Now();
      processor_seconds_ = ProcessorSeconds() - processor_start_;
      loop_.Stop();
      return;
    }
    const std::string message(FLAGS_bytes, 't');
    const uint64_t due = static_cast<uint64_t>(core::ToMilliseconds(elapsed)) *
                         FLAGS_rate / kMillisecondsPerSecond;
    for (; sent_ < due; ++sent_) {
      calls_[sent_ % calls_.size()]->Send(message);
    }
  }

  core::EventLoop loop_;
  std::unique_ptr<LinkNode> server_;
  std::unique_ptr<LinkNode> client_;
  std::vector<std::shared_ptr<InboundCall>> calls_;
  std::unique_ptr<core::Timer> timer_;
  uint64_t sent_ = 0;
  uint64_t received_ = 0;
  core::TimePoint started_at_;
  core::TimePoint ended_at_;
  double processor_start_ = 0;
  double processor_seconds_ = 0;
};

}  // namespace
}  // namespace wasabi::link

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures the processor time of relaying tokens over a link");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  wasabi::link::LinkBench bench;
  if (!bench.Start()) {
    fmt::print(stderr, "cannot listen on 127.0.4.1 and 127.0.4.2\n");
    return 1;
  }
  bench.Print();
  return 0;
}
