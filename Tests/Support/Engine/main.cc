// standin_engine: simulates a model engine for tests and experiments.

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/Engine/engine_server.h"

DEFINE_string(address, "127.0.0.1:9000", "IP address and port to listen on");
DEFINE_string(public_address,
              "",
              "address in the host list if the engine is behind a proxy; "
              "defaults to --address");
DEFINE_string(platform, "", "IP address and port of the platform, or empty");
DEFINE_string(id, "engine-1", "id in the platform's host list");
DEFINE_string(pool, "pool-1", "pool in the platform's host list");
DEFINE_string(data_centre, "dc-1", "data centre in the platform's host list");
DEFINE_string(model, "m", "model that the engine serves after its start");
DEFINE_string(model_version, "1", "version of the model");
DEFINE_int32(step_us, 3000, "duration of a step, microseconds");
DEFINE_int32(step_per_sequence_us,
             10,
             "time that each running sequence adds to a step, microseconds");
DEFINE_int32(prefill_tokens_per_step,
             24,
             "prefill budget of a step, prompt tokens");
DEFINE_int32(max_running, 64, "maximum number of running sequences");
DEFINE_int32(max_waiting, 256, "maximum number of queued sequences");
DEFINE_int64(kv_tokens, 200000, "size of the KV memory, tokens");
DEFINE_int32(report_lag_ms, 200, "interval between load reports, milliseconds");
DEFINE_int32(cache_event_lag_ms, 500, "delay of cache events, milliseconds");
DEFINE_double(cache_event_loss,
              0.05,
              "share of cache events that are lost, in [0, 1]");
DEFINE_bool(check_fencing, true, "reject orders with a stale fencing number");
DEFINE_int32(order_ms, 500, "time to apply an order, milliseconds");
DEFINE_int32(leave_linger_ms,
             1000,
             "minimum time from SIGTERM to the exit, milliseconds");
DEFINE_string(execution_file, "", "path of the execution log");
DEFINE_int64(seed, 1, "seed for the choice of lost cache events");

namespace wasabi::support {
namespace {

absl::StatusOr<EngineOptions> OptionsFromFlags() {
  EngineOptions options;
  TRY_ASSIGN(options.address, core::SocketAddress::Parse(FLAGS_address));
  if (!FLAGS_platform.empty()) {
    TRY_ASSIGN(options.platform, core::SocketAddress::Parse(FLAGS_platform));
  }
  const std::string& address =
      FLAGS_public_address.empty() ? FLAGS_address : FLAGS_public_address;
  options.host = {FLAGS_id,          "runner", FLAGS_pool,
                  FLAGS_data_centre, address,  "live"};
  options.limits.step = core::microseconds(FLAGS_step_us);
  options.limits.step_per_sequence =
      core::microseconds(FLAGS_step_per_sequence_us);
  options.limits.prefill_tokens_per_step =
      static_cast<uint32_t>(FLAGS_prefill_tokens_per_step);
  options.limits.max_running = static_cast<uint32_t>(FLAGS_max_running);
  options.limits.kv_capacity_tokens = static_cast<uint64_t>(FLAGS_kv_tokens);
  options.max_waiting = static_cast<uint32_t>(FLAGS_max_waiting);
  options.model = FLAGS_model;
  options.version = FLAGS_model_version;
  options.report_lag = core::milliseconds(FLAGS_report_lag_ms);
  options.cache_event_lag = core::milliseconds(FLAGS_cache_event_lag_ms);
  options.cache_event_loss = FLAGS_cache_event_loss;
  options.check_fencing = FLAGS_check_fencing;
  options.order_time = core::milliseconds(FLAGS_order_ms);
  options.leave_linger = core::milliseconds(FLAGS_leave_linger_ms);
  options.execution_file = FLAGS_execution_file;
  options.seed = static_cast<uint64_t>(FLAGS_seed);
  return options;
}

absl::Status RunEngine() {
  TRY_ASSIGN(const EngineOptions options, OptionsFromFlags());
  core::EventLoop loop;
  TRY_ASSIGN(const std::unique_ptr<EngineServer> server,
             EngineServer::Create(&loop, options));
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
  gflags::SetUsageMessage("simulates a model engine for tests");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const absl::Status status = wasabi::support::RunEngine();
  if (!status.ok()) {
    std::cerr << wasabi::core::MessageOf(status) << "\n";
    return static_cast<int>(wasabi::core::CodeOf(status)) % 256;
  }
  return 0;
}
