// standin_service: simulates a plain service for tests and experiments.

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/Service/service_server.h"

DEFINE_string(address, "127.0.0.1:9500", "IP address and port to listen on");
DEFINE_string(public_address,
              "",
              "address in the host list if the service is behind a proxy; "
              "defaults to --address");
DEFINE_string(platform, "", "IP address and port of the platform, or empty");
DEFINE_string(id, "service-1", "id in the platform's host list");
DEFINE_string(pool, "counter", "pool in the platform's host list");
DEFINE_string(data_centre, "dc-1", "data centre in the platform's host list");
DEFINE_int32(work_ms, 5, "duration of a call, milliseconds");
DEFINE_int32(leave_linger_ms,
             1000,
             "minimum time from SIGTERM to the exit, milliseconds");
DEFINE_string(execution_file, "", "path of the execution log");

namespace wasabi::support {
namespace {

absl::StatusOr<ServiceOptions> OptionsFromFlags() {
  ServiceOptions options;
  TRY_ASSIGN(options.address, core::SocketAddress::Parse(FLAGS_address));
  if (!FLAGS_platform.empty()) {
    TRY_ASSIGN(options.platform, core::SocketAddress::Parse(FLAGS_platform));
  }
  const std::string& address =
      FLAGS_public_address.empty() ? FLAGS_address : FLAGS_public_address;
  options.host = {FLAGS_id,          "service", FLAGS_pool,
                  FLAGS_data_centre, address,   "live"};
  options.work_time = core::milliseconds(FLAGS_work_ms);
  options.leave_linger = core::milliseconds(FLAGS_leave_linger_ms);
  options.execution_file = FLAGS_execution_file;
  return options;
}

absl::Status RunService() {
  TRY_ASSIGN(const ServiceOptions options, OptionsFromFlags());
  core::EventLoop loop;
  TRY_ASSIGN(const std::unique_ptr<ServiceServer> server,
             ServiceServer::Create(&loop, options));
  loop.OnSignal(SIGTERM, [&server] { server->StartGracefulShutdown(); });
  loop.OnSignal(SIGINT, [&server] { server->StartGracefulShutdown(); });
  loop.Run();
  return absl::OkStatus();
}

}  // namespace
}  // namespace wasabi::support

int main(int argc, char** argv) {
  // Writing to a connection that the peer has closed must not kill the process.
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage("simulates a plain service for tests");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const absl::Status status = wasabi::support::RunService();
  if (!status.ok()) {
    std::cerr << wasabi::core::MessageOf(status) << "\n";
    return static_cast<int>(wasabi::core::CodeOf(status)) % 256;
  }
  return 0;
}
