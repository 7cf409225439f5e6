// standin_engine: a stand-in for a model engine, for tests and experiments.

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/Engine/engine_server.h"

DEFINE_string(address, "127.0.0.1:9000", "IP number and port to listen on");
DEFINE_string(public_address,
              "",
              "address in the host list, where a proxy stands before the "
              "engine; the same as --address when empty");
DEFINE_string(platform, "", "IP number and port of the platform, or empty");
DEFINE_string(id, "engine-1", "id in the platform's host list");
DEFINE_string(pool, "pool-1", "pool in the platform's host list");
DEFINE_string(data_centre, "dc-1", "data centre in the platform's host list");
DEFINE_string(model, "m", "model that the engine serves at its start");
DEFINE_string(model_version, "1", "version of the model");
DEFINE_int32(step_us, 3000, "time of a step, microseconds");
DEFINE_int32(step_per_sequence_us,
             10,
             "what each running sequence adds to a step, microseconds");
DEFINE_int32(prefill_tokens_per_step, 24, "prompt tokens that a step prefills");
DEFINE_int32(max_running, 64, "sequences that run at once");
DEFINE_int32(max_waiting, 256, "sequences that wait at most");
DEFINE_int64(kv_tokens, 200000, "KV memory, tokens");
DEFINE_int32(report_lag_ms, 200, "time between load reports, milliseconds");
DEFINE_int32(cache_event_lag_ms, 500, "delay of cache events, milliseconds");
DEFINE_double(cache_event_loss, 0.05, "share of cache events that is lost");
DEFINE_bool(check_fencing, true, "refuse orders with an old fencing number");
DEFINE_int32(order_ms, 500, "time that an order takes, milliseconds");
DEFINE_int32(leave_linger_ms,
             1000,
             "shortest time from SIGTERM to the exit, milliseconds");
DEFINE_string(execution_file, "", "file that executions are written to");
DEFINE_int64(seed, 1, "seed of the lost cache events");

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
  loop.OnSignal(SIGTERM, [&server] { server->Leave(); });
  loop.OnSignal(SIGINT, [&server] { server->Leave(); });
  loop.Run();
  return absl::OkStatus();
}

}  // namespace
}  // namespace wasabi::support

int main(int argc, char** argv) {
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage("stand-in for a model engine");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const absl::Status status = wasabi::support::RunEngine();
  if (!status.ok()) {
    std::cerr << wasabi::core::MessageOf(status) << "\n";
    return static_cast<int>(wasabi::core::CodeOf(status)) % 256;
  }
  return 0;
}
