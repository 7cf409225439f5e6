// wasabi_decision_bench: runs the production placement code in virtual time for
// several strategies, prints a comparison table and optionally writes JSON.

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Utilities/DecisionBench/pool_simulation.h"
#include "Utilities/DecisionBench/report.h"
#include "Utilities/DecisionBench/state_cost.h"

DEFINE_uint32(runners, 850, "Number of runners in the pool.");
DEFINE_double(requests_per_second, 4900, "Arrivals outside the surge.");
DEFINE_double(pause_seconds, 60, "Mean pause between two turns of a chat, s.");
DEFINE_uint32(max_running, 256, "Maximum requests that run on one runner.");
DEFINE_uint32(minimum_cap, 1, "Minimum cap on a runner at any mean load.");
DEFINE_uint32(max_choices, 8, "Maximum runners tried for a request; 0: all.");
DEFINE_double(service_seconds, 10, "Mean service time, s (lognormal).");
DEFINE_double(prefill_tokens_per_second, 8000, "Prefill speed of a runner.");
DEFINE_uint32(report_lag_ms, 1000, "Staleness of pool totals and reports, ms.");
DEFINE_uint32(seconds, 120, "Virtual time of each run, warm-up included, s.");
DEFINE_uint32(warm_up_seconds,
              30,
              "Virtual time excluded from the results, s.");
DEFINE_double(surge_factor, 1.5, "Rate multiplier in the middle third.");
DEFINE_double(surge_chats, 0.01, "Share of chats that send the surplus.");
DEFINE_bool(one_runner_leaves, false, "Remove a runner instead of a surge.");
DEFINE_uint64(seed, 1, "Seed of all random numbers.");
DEFINE_string(strategies,
              "random,least_reported,plain_hash,bounded_hash,owners",
              "Strategies to compare.");
DEFINE_string(load_bounds,
              "1.25",
              "Bounds to run the bounded strategies with.");
DEFINE_bool(state_cost, true, "Also measure state costs: memory and time.");
DEFINE_string(json, "", "Output file for the results as JSON.");

namespace wasabi::bench {
namespace {

SimulationOptions OptionsFromFlags() {
  SimulationOptions options;
  options.runners = FLAGS_runners;
  options.requests_per_second = FLAGS_requests_per_second;
  options.pause_seconds = FLAGS_pause_seconds;
  options.max_running = FLAGS_max_running;
  options.minimum_cap = FLAGS_minimum_cap;
  options.max_choices = FLAGS_max_choices;
  options.service_seconds = FLAGS_service_seconds;
  options.prefill_tokens_per_second = FLAGS_prefill_tokens_per_second;
  options.report_lag = core::milliseconds(FLAGS_report_lag_ms);
  options.duration = core::seconds(FLAGS_seconds);
  options.warm_up = core::seconds(FLAGS_warm_up_seconds);
  options.surge_factor = FLAGS_surge_factor;
  options.surge_chats = FLAGS_surge_chats;
  options.one_runner_leaves = FLAGS_one_runner_leaves;
  options.seed = FLAGS_seed;
  return options;
}

absl::StatusOr<std::vector<SimulationRow>> RunAll(SimulationOptions options) {
  std::vector<SimulationRow> rows;
  for (const std::string& strategy : core::SplitList(FLAGS_strategies)) {
    options.strategy = strategy;
    for (const std::string& bound : core::SplitList(FLAGS_load_bounds)) {
      options.load_bound = core::ParseNumber<double>(bound).value_or(1.25);
      auto simulation = PoolSimulation::Create(options);
      if (!simulation.ok()) {
        return simulation.status();
      }
      rows.push_back({options.load_bound, (*simulation)->Run()});
      const bool has_bound = strategy == "owners" || strategy == "bounded_hash";
      if (!has_bound) {
        break;
      }
    }
  }
  return rows;
}

int Run() {
  if (FLAGS_runners < 2 || FLAGS_seconds <= FLAGS_warm_up_seconds) {
    fmt::print(
        stderr,
        "--runners must be 2 or more and --seconds above --warm_up_seconds\n");
    return static_cast<int>(core::ResultCode::kUsage);
  }
  const SimulationOptions options = OptionsFromFlags();
  const auto rows = RunAll(options);
  if (!rows.ok()) {
    fmt::print(stderr, "{}\n", core::MessageOf(rows.status()));
    return static_cast<int>(core::ResultCode::kUsage);
  }
  std::vector<StateCost> costs;
  if (FLAGS_state_cost) {
    costs = MeasureStateCosts();
  }
  fmt::print("{}", ToTable(*rows, costs));
  if (!FLAGS_json.empty()) {
    std::ofstream file(FLAGS_json);
    file << ToJson(options, *rows, costs) << '\n';
  }
  return 0;
}

}  // namespace
}  // namespace wasabi::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "compares placement strategies on the production code");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wasabi::bench::Run();
}
