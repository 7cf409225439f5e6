// standin_platform: simulates the platform in memory for tests and experiments.

#include <gflags/gflags.h>
#include <signal.h>

#include <iostream>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibHttp/server.h"
#include "Tests/Support/Platform/platform_service.h"

DEFINE_string(address, "127.0.0.1:9300", "IP address and port to listen on");
DEFINE_double(append_rate, 400, "appends per second; 0 means no limit");
DEFINE_uint64(retention_records, 1000000, "records that each stream retains");
DEFINE_int64(host_list_lag_ms, 500, "lag of the host list, milliseconds");
DEFINE_uint64(weight_slots, 2, "maximum number of concurrent weight downloads");
DEFINE_double(weight_bytes_per_second,
              64.0 * 1024 * 1024,
              "total rate of all weight downloads, bytes per second");
DEFINE_uint64(seed, 1, "seed of random faults");

namespace wasabi::standin {
namespace {

PlatformOptions OptionsFromFlags() {
  PlatformOptions options;
  options.append_rate = FLAGS_append_rate;
  options.retention_records = FLAGS_retention_records;
  options.host_list_lag = core::milliseconds(FLAGS_host_list_lag_ms);
  options.weights.slots = FLAGS_weight_slots;
  options.weights.bytes_per_second = FLAGS_weight_bytes_per_second;
  options.seed = FLAGS_seed;
  return options;
}

absl::Status Run() {
  http::ServerOptions server_options;
  auto address = core::SocketAddress::Parse(FLAGS_address);
  if (!address.ok()) {
    return address.status();
  }
  server_options.address = *address;
  core::EventLoop loop;
  PlatformService service(&loop, OptionsFromFlags());
  auto server = http::Server::Create(
      &loop, server_options,
      [&service](const std::shared_ptr<http::Exchange>& exchange) {
        service.Handle(exchange);
      });
  if (!server.ok()) {
    return server.status();
  }
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  std::cout << "listening on " << FLAGS_address << std::endl;
  loop.Run();
  return absl::OkStatus();
}

}  // namespace
}  // namespace wasabi::standin

int main(int argc, char** argv) {
  gflags::SetUsageMessage("simulates the platform in memory for tests");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const absl::Status status = wasabi::standin::Run();
  if (!status.ok()) {
    std::cerr << wasabi::core::MessageOf(status) << "\n";
    return static_cast<int>(wasabi::core::CodeOf(status));
  }
  return 0;
}
