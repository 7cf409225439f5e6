#include "Tests/Support/Measure/measurements.h"

#include <algorithm>
#include <thread>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/Measure/load_command.h"
#include "Tests/Support/Measure/process_usage.h"

namespace wasabi::support {

namespace {

constexpr core::Duration kLoadTimeout = std::chrono::seconds(120);
// Number of rounds, each with a baseline run and then a routed run.
constexpr int kLatencyRounds = 3;
// Time until all streams of the relay measurement are open, and the duration of
// the measurement.
constexpr core::Duration kRelayRamp = std::chrono::seconds(13);
constexpr core::Duration kRelayWindow = std::chrono::seconds(6);
// Token rate of each stream. A step of the engines takes 50 ms.
constexpr double kRelayTokensPerSecond = 20;
// Time until all members have discovered each other.
constexpr core::Duration kMembershipTime = std::chrono::seconds(5);

constexpr std::string_view kLatencyExperiment = R"(
[experiment]
name = added-latency
duration_ms = 8000
warm_up_ms = 1000
[chats]
model = luthier
turns_per_second = 500
turns = 4
pause_ms_min = 200
pause_ms_max = 600
first_prompt_tokens_min = 8
first_prompt_tokens_max = 12
turn_tokens_min = 4
turn_tokens_max = 8
answer_tokens_min = 8
answer_tokens_max = 8
[organisations]
names = quito-schools, banda-sinfonica, coro-catedral
)";

constexpr std::string_view kRelayExperiment = R"(
[experiment]
name = relay
duration_ms = 20000
[chats]
model = luthier
turns_per_second = 100
turns = 1
first_prompt_tokens_min = 8
first_prompt_tokens_max = 12
answer_tokens_min = 200
answer_tokens_max = 200
[organisations]
names = quito-schools, banda-sinfonica, coro-catedral
[caller]
patience_ms = 90000
)";

constexpr std::string_view kIdleExperiment = R"(
[experiment]
name = control-traffic
duration_ms = 10000
[chats]
turns_per_second = 0
[organisations]
names = quito-schools
)";

// An intent whose pool admits all streams of the relay measurement.
constexpr std::string_view kRelayIntent = R"([intent]
kind = deployment
deployment = salazar
[model luthier]
pool = salazar-models
load_bound = 4
max_running = 400
[organisation quito-schools]
weight = 1
[organisation banda-sinfonica]
weight = 1
[organisation coro-catedral]
weight = 1
)";

absl::StatusOr<FleetOptions> MakeOptions(const MeasureContext& context) {
  FleetOptions options;
  options.binary_folder = context.binary_folder;
  options.source_folder = context.source_folder;
  options.services = 0;
  options.router_settings = {{"log", {{"level", "off"}}}};
  options.control_settings = options.router_settings;
  TRY_ASSIGN(options.deployment, FindDeployment("salazar"));
  return options;
}

absl::StatusOr<nlohmann::json> RunLoad(const Fleet& fleet,
                                       const std::string& name,
                                       std::string_view experiment,
                                       bool is_direct) {
  TRY_ASSIGN(
      const std::unique_ptr<LoadCommand> load,
      LoadCommand::Start(fleet, name, std::string(experiment), is_direct));
  return load->Finish(kLoadTimeout);
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

// Blocks for `window` and returns the share of one core that the process `name`
// used in that time, or 0 if the process does not exist.
double CpuShare(const Fleet& fleet,
                const std::string& name,
                core::Duration window) {
  const pid_t pid = fleet.PidOf(name);
  const auto before = CpuTimeOf(pid);
  std::this_thread::sleep_for(window);
  const auto after = CpuTimeOf(pid);
  if (!before || !after) {
    return 0;
  }
  return core::ToSeconds(*after - *before) / core::ToSeconds(window);
}

// Returns the average number of streams that the engines ran in the window of
// the relay measurement, from the series of `result`.
double RelayedStreams(const nlohmann::json& result) {
  const nlohmann::json& series = result["series"];
  const core::Duration interval =
      core::milliseconds(series.value("interval_ms", 1));
  const auto first = static_cast<size_t>(kRelayRamp / interval);
  const auto last = static_cast<size_t>((kRelayRamp + kRelayWindow) / interval);
  double sum = 0;
  for (const nlohmann::json& engine : series["engine_requests"]) {
    for (size_t i = first; i < std::min(last, engine.size()); ++i) {
      sum += engine[i].get<double>();
    }
  }
  return sum / static_cast<double>(last - first);
}

// Control traffic and CPU usage per router of an idle fleet.
struct ControlCost {
  double bytes_per_second = 0;
  double cpu_share = 0;
};

absl::StatusOr<ControlCost> MeasureIdleFleet(const MeasureContext& context,
                                             int routers) {
  TRY_ASSIGN(FleetOptions options, MakeOptions(context));
  options.entries = routers;
  TRY_ASSIGN(const std::unique_ptr<Fleet> fleet, Fleet::Create(options));
  std::this_thread::sleep_for(kMembershipTime);
  const pid_t pid = fleet->PidOf("router-1");
  const auto before = CpuTimeOf(pid);
  const core::TimePoint start = core::Clock::now();
  TRY_ASSIGN(const nlohmann::json result,
             RunLoad(*fleet, "idle", kIdleExperiment, false));
  const auto after = CpuTimeOf(pid);
  const core::Duration length = core::Clock::now() - start;
  TRY(fleet->Stop());
  ControlCost cost;
  cost.bytes_per_second =
      result.value("control_bytes_per_second_per_router_max", 0.0);
  if (before && after) {
    cost.cpu_share =
        core::ToSeconds(*after - *before) / core::ToSeconds(length);
  }
  return cost;
}

}  // namespace

absl::StatusOr<Figures> MeasureAddedLatency(const MeasureContext& context) {
  constexpr double kP50BudgetMs = 1;
  constexpr double kP99BudgetMs = 5;
  TRY_ASSIGN(FleetOptions options, MakeOptions(context));
  options.entries = 8;
  TRY_ASSIGN(const std::unique_ptr<Fleet> fleet, Fleet::Create(options));
  std::vector<double> added_p50;
  std::vector<double> added_p99;
  double direct_p50 = 0;
  for (int i = 0; i < kLatencyRounds; ++i) {
    TRY_ASSIGN(
        const nlohmann::json direct,
        RunLoad(*fleet, fmt::format("direct-{}", i), kLatencyExperiment, true));
    TRY_ASSIGN(const nlohmann::json routed,
               RunLoad(*fleet, fmt::format("routed-{}", i), kLatencyExperiment,
                       false));
    direct_p50 = direct.value("first_token_ms_p50", 0.0);
    added_p50.push_back(routed.value("first_token_ms_p50", 0.0) - direct_p50);
    added_p99.push_back(routed.value("first_token_ms_p99", 0.0) -
                        direct.value("first_token_ms_p99", 0.0));
  }
  TRY(fleet->Stop());
  return Figures{
      {"first token of direct calls, p50", "ms", direct_p50},
      {"added first-token time, p50", "ms", Median(added_p50), kP50BudgetMs},
      {"added first-token time, p99", "ms", Median(added_p99), kP99BudgetMs}};
}

absl::StatusOr<Figures> MeasureRelay(const MeasureContext& context) {
  constexpr double kCoreBudget = 1;
  TRY_ASSIGN(FleetOptions options, MakeOptions(context));
  options.entries = 1;
  options.intent_text = kRelayIntent;
  options.engine_flags = {"--step_us=50000", "--step_per_sequence_us=0",
                          "--prefill_tokens_per_step=2000",
                          "--max_running=400"};
  TRY_ASSIGN(const std::unique_ptr<Fleet> fleet, Fleet::Create(options));
  TRY_ASSIGN(const std::unique_ptr<LoadCommand> load,
             LoadCommand::Start(*fleet, "relay", std::string(kRelayExperiment),
                                false));
  std::this_thread::sleep_for(kRelayRamp);
  const double share = CpuShare(*fleet, "router-1", kRelayWindow);
  TRY_ASSIGN(const nlohmann::json result, load->Finish(kLoadTimeout));
  TRY(fleet->Stop());
  const double streams = RelayedStreams(result);
  return Figures{
      {"streams through one router", "streams", streams},
      {"tokens through one router", "tokens/s",
       streams * kRelayTokensPerSecond},
      {"time between tokens, p50 (engines: 50 ms)", "ms",
       result["between_tokens_ms"].value("p50", 0.0)},
      {"router relaying 20,000 tokens/s", "cores", share, kCoreBudget}};
}

absl::StatusOr<Figures> MeasureControlTraffic(const MeasureContext& context) {
  constexpr double kBytesBudget = 18'000;
  constexpr double kCoreBudget = 0.044;
  Figures figures;
  std::vector<double> sizes;
  std::vector<double> bytes;
  for (const int routers : {4, 8, 16, 32}) {
    TRY_ASSIGN(const ControlCost cost, MeasureIdleFleet(context, routers));
    sizes.push_back(routers);
    bytes.push_back(cost.bytes_per_second);
    figures.push_back({fmt::format("control traffic, {} routers", routers),
                       "bytes/s", cost.bytes_per_second, kBytesBudget});
    figures.push_back({fmt::format("idle router, {} routers", routers), "cores",
                       cost.cpu_share, kCoreBudget});
  }
  figures.push_back({"slope of the control traffic", "bytes/s per router",
                     LeastSquaresSlope(sizes, bytes)});
  return figures;
}

double LeastSquaresSlope(const std::vector<double>& x,
                         const std::vector<double>& y) {
  double x_sum = 0;
  double y_sum = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    x_sum += x[i];
    y_sum += y[i];
  }
  const auto n = static_cast<double>(x.size());
  double covariance = 0;
  double variance = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    covariance += (x[i] - x_sum / n) * (y[i] - y_sum / n);
    variance += (x[i] - x_sum / n) * (x[i] - x_sum / n);
  }
  return variance > 0 ? covariance / variance : 0;
}

}  // namespace wasabi::support
