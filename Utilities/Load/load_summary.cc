#include "Utilities/Load/load_summary.h"

#include <algorithm>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::load {

namespace {

// Intervals with a lower mean load per engine are excluded from the skew,
// because the ratio is not meaningful for so little load.
constexpr double kMinMeanRequests = 1;
constexpr double kMinMeanTokens = 50;

double ToFractionalMs(core::Duration duration) {
  return core::ToSeconds(duration) * 1e3;
}

Latency MakeLatency(const std::vector<double>& values_ms) {
  return {Percentile(values_ms, 0.5), Percentile(values_ms, 0.95),
          Percentile(values_ms, 0.99)};
}

Latency FirstTokenLatency(const Experiment& experiment,
                          const std::vector<ChatOutcome>& chats) {
  std::vector<double> values_ms;
  for (const ChatOutcome& it : chats) {
    const bool has_token = it.first_token > core::Duration::zero();
    if (has_token && it.arrival >= experiment.warm_up) {
      values_ms.push_back(ToFractionalMs(it.first_token));
    }
  }
  return MakeLatency(values_ms);
}

Latency ServiceLatency(const std::vector<ServiceOutcome>& services) {
  std::vector<double> values_ms;
  for (const ServiceOutcome& it : services) {
    if (it.ending == Ending::kAnswered) {
      values_ms.push_back(ToFractionalMs(it.latency));
    }
  }
  return MakeLatency(values_ms);
}

// Returns the records of the engines: plain services record no load samples.
std::vector<EndpointRecords> EnginesOf(const RunRecords& records) {
  std::vector<EndpointRecords> engines;
  for (const EndpointRecords& it : records.endpoints) {
    if (!it.samples.empty()) {
      engines.push_back(it);
    }
  }
  return engines;
}

std::string Row(std::string_view name, const Latency& latency) {
  return fmt::format("  {:<28} {:>9.2f} {:>9.2f} {:>9.2f}\n", name, latency.p50,
                     latency.p95, latency.p99);
}

std::string Row(std::string_view name, const SkewResult& skew) {
  return fmt::format("  {:<28} {:>9.3f} {:>9.3f} {:>9.3f}\n", name, skew.p50,
                     skew.p99, skew.maximum);
}

nlohmann::json ToJson(const Latency& latency) {
  return {{"p50", latency.p50}, {"p95", latency.p95}, {"p99", latency.p99}};
}

nlohmann::json ToJson(const SkewResult& skew) {
  return {{"p50", skew.p50},
          {"p99", skew.p99},
          {"maximum", skew.maximum},
          {"intervals", skew.intervals}};
}

}  // namespace

LoadSummary Summarise(const Experiment& experiment, const RunRecords& records) {
  LoadSummary it;
  it.experiment = experiment.name;
  it.seed = experiment.seed;
  it.check = CheckRun(records.chats, records.services, records.executions);
  it.reuse = MeasureReuse(records.chats, experiment.warm_up);
  const std::vector<EndpointRecords> engines = EnginesOf(records);
  it.request_skew =
      MeasureSkew(engines, LoadMeasure::kRequests, records.begin_ns,
                  records.end_ns, kMinMeanRequests);
  it.token_skew = MeasureSkew(engines, LoadMeasure::kTokens, records.begin_ns,
                              records.end_ns, kMinMeanTokens);
  it.first_token = FirstTokenLatency(experiment, records.chats);
  it.between_tokens = MakeLatency(std::vector<double>(
      records.token_gaps_ms.begin(), records.token_gaps_ms.end()));
  it.service_call = ServiceLatency(records.services);
  for (const double bytes : records.control_bytes_per_second) {
    it.control_bytes_per_second_max =
        std::max(it.control_bytes_per_second_max, bytes);
  }
  for (const ChatOutcome& outcome : records.chats) {
    it.reattachments += outcome.reattachments;
    it.refused_sends += outcome.refused_ids.size();
  }
  it.peak_streams = records.peak_streams;
  it.executions = records.executions.size();
  it.host_questions = records.host_questions;
  return it;
}

std::string ToText(const LoadSummary& summary) {
  const CheckResult& check = summary.check;
  std::string text =
      fmt::format("Experiment {}, seed {}\n", summary.experiment, summary.seed);
  text += fmt::format(
      "  requests {}: whole {}, wrong {}, lost {}, refused {}, explicit error "
      "{}, unknown {}\n",
      check.requests, check.whole_answers, check.wrong_answers, check.lost,
      check.refused, check.failed_explicit, check.unknown);
  text += fmt::format(
      "  executions {}: keys doubled {}, refused but executed {}\n",
      summary.executions, check.doubled, check.not_run_but_executed);
  text += fmt::format(
      "  refused sends {}, reattachments {}, peak concurrent streams {}\n",
      summary.refused_sends, summary.reattachments, summary.peak_streams);
  text += fmt::format(
      "  returning turns {}: reused tokens {:.4f}, warm turns {:.4f}\n",
      summary.reuse.returning_turns, summary.reuse.TokenShare(),
      summary.reuse.WarmShare());
  text += fmt::format("  maximum control bytes/s of a router {:.0f}\n",
                      summary.control_bytes_per_second_max);
  text += fmt::format("\n  {:<28} {:>9} {:>9} {:>9}\n", "milliseconds", "p50",
                      "p95", "p99");
  text += Row("first token", summary.first_token);
  text += Row("between tokens", summary.between_tokens);
  text += Row("service call", summary.service_call);
  text += fmt::format("\n  {:<28} {:>9} {:>9} {:>9}\n",
                      "most loaded engine / mean", "p50", "p99", "maximum");
  text += Row("requests", summary.request_skew);
  text += Row("outstanding tokens", summary.token_skew);
  for (const std::string& problem : check.problems) {
    text += "  " + problem + "\n";
  }
  return text;
}

nlohmann::json ToJson(const LoadSummary& summary) {
  const CheckResult& check = summary.check;
  return {{"experiment", summary.experiment},
          {"seed", summary.seed},
          {"requests", check.requests},
          {"whole_answers", check.whole_answers},
          {"wrong_answers", check.wrong_answers},
          {"lost", check.lost},
          {"doubled", check.doubled},
          {"refused", check.refused},
          {"failed_explicit", check.failed_explicit},
          {"unknown", check.unknown},
          {"not_run_but_executed", check.not_run_but_executed},
          {"cache_reuse", summary.reuse.TokenShare()},
          {"warm_turns", summary.reuse.WarmShare()},
          {"returning_turns", summary.reuse.returning_turns},
          {"skew_max_over_mean", summary.request_skew.p99},
          {"request_skew", ToJson(summary.request_skew)},
          {"token_skew", ToJson(summary.token_skew)},
          {"first_token_ms_p50", summary.first_token.p50},
          {"first_token_ms_p95", summary.first_token.p95},
          {"first_token_ms_p99", summary.first_token.p99},
          {"between_tokens_ms", ToJson(summary.between_tokens)},
          {"service_call_ms", ToJson(summary.service_call)},
          {"control_bytes_per_second_per_router_max",
           summary.control_bytes_per_second_max},
          {"reattachments", summary.reattachments},
          {"refused_sends", summary.refused_sends},
          {"peak_streams", summary.peak_streams},
          {"executions", summary.executions},
          {"host_questions", summary.host_questions}};
}

}  // namespace wasabi::load
