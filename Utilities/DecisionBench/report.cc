#include "Utilities/DecisionBench/report.h"

#include <array>
#include <nlohmann/json.hpp>

#include "LibCore/text.h"

namespace wasabi::bench {

namespace {

// A column of the table: its JSON key, its heading and how its value is read.
struct Column {
  const char* key;
  const char* heading;
  int decimals;
  double (*read)(const SimulationRow& row);
};

template <auto kMember>
double Read(const SimulationRow& row) {
  return static_cast<double>(row.result.*kMember);
}

using Result = SimulationResult;

constexpr std::array<Column, 19> kColumns = {{
    {"load_bound", "bound", 2,
     [](const SimulationRow& row) { return row.load_bound; }},
    {"requests", "requests", 0, Read<&Result::requests>},
    {"skew_p50", "skew p50", 3, Read<&Result::skew_p50>},
    {"skew_p99", "skew p99", 3, Read<&Result::skew_p99>},
    {"share_of_samples_above_bound", "above", 3,
     Read<&Result::share_of_samples_above_bound>},
    {"share_of_starts_above_bound", "starts ab", 4,
     Read<&Result::share_of_starts_above_bound>},
    {"worst_excess", "excess", 0, Read<&Result::worst_excess>},
    {"warm_share", "warm", 4, Read<&Result::warm_share>},
    {"warm_share_first_turn_after_leave", "first", 4,
     Read<&Result::warm_share_first_turn_after_leave>},
    {"warm_share_later_turns_after_leave", "later", 4,
     Read<&Result::warm_share_later_turns_after_leave>},
    {"waited_share", "waited", 4, Read<&Result::waited_share>},
    {"displaced_share", "moved", 4, Read<&Result::displaced_share>},
    {"wait_seconds_p99", "wait p99", 3, Read<&Result::wait_seconds_p99>},
    {"refused", "refused", 0, Read<&Result::refused>},
    {"refused_while_a_runner_was_under_its_cap", "wrongly", 0,
     Read<&Result::refused_while_a_runner_was_under_its_cap>},
    {"offers_per_request", "offers", 2, Read<&Result::offers_per_request>},
    {"order_nanoseconds", "order ns", 0, Read<&Result::order_nanoseconds>},
    {"offer_nanoseconds", "offer ns", 0, Read<&Result::offer_nanoseconds>},
    {"pointers", "pointers", 0, Read<&Result::pointers>},
}};

std::string StrategyTable(const std::vector<SimulationRow>& rows) {
  std::string text = fmt::format("{:<15}", "strategy");
  for (const Column& it : kColumns) {
    text += fmt::format(" {:>9}", it.heading);
  }
  text += '\n';
  for (const SimulationRow& row : rows) {
    text += fmt::format("{:<15}", row.result.strategy);
    for (const Column& it : kColumns) {
      text += fmt::format(" {:>9.{}f}", it.read(row), it.decimals);
    }
    text += '\n';
  }
  return text;
}

std::string CostTable(const std::vector<StateCost>& costs) {
  std::string text = fmt::format("{:<16} {:>8} {:>12} {:>10}\n", "state",
                                 "count", "bytes/entry", "ns/entry");
  for (const StateCost& it : costs) {
    text += fmt::format("{:<16} {:>8} {:>12.1f} {:>10.0f}\n", it.kind, it.count,
                        it.bytes_per_entry, it.nanoseconds_per_entry);
  }
  return text;
}

nlohmann::json OptionsToJson(const SimulationOptions& options) {
  return {{"runners", options.runners},
          {"requests_per_second", options.requests_per_second},
          {"pause_seconds", options.pause_seconds},
          {"max_running", options.max_running},
          {"minimum_cap", options.minimum_cap},
          {"max_choices", options.max_choices},
          {"service_seconds", options.service_seconds},
          {"service_deviation", options.service_deviation},
          {"prefill_tokens_per_second", options.prefill_tokens_per_second},
          {"report_lag_ms", core::ToMilliseconds(options.report_lag)},
          {"warm_up_ms", core::ToMilliseconds(options.warm_up)},
          {"duration_ms", core::ToMilliseconds(options.duration)},
          {"surge_factor", options.surge_factor},
          {"surge_chats", options.surge_chats},
          {"one_runner_leaves", options.one_runner_leaves},
          {"seed", options.seed}};
}

}  // namespace

std::string ToTable(const std::vector<SimulationRow>& rows,
                    const std::vector<StateCost>& costs) {
  std::string text = StrategyTable(rows);
  if (!costs.empty()) {
    text += '\n' + CostTable(costs);
  }
  return text;
}

std::string ToJson(const SimulationOptions& options,
                   const std::vector<SimulationRow>& rows,
                   const std::vector<StateCost>& costs) {
  nlohmann::json json = {{"options", OptionsToJson(options)},
                         {"strategies", nlohmann::json::array()},
                         {"state_costs", nlohmann::json::array()}};
  for (const SimulationRow& row : rows) {
    nlohmann::json entry = {{"strategy", row.result.strategy}};
    for (const Column& it : kColumns) {
      entry[it.key] = it.read(row);
    }
    json["strategies"].push_back(std::move(entry));
  }
  for (const StateCost& it : costs) {
    json["state_costs"].push_back(
        {{"kind", it.kind},
         {"count", it.count},
         {"bytes_per_entry", it.bytes_per_entry},
         {"nanoseconds_per_entry", it.nanoseconds_per_entry}});
  }
  return json.dump(2);
}

}  // namespace wasabi::bench
