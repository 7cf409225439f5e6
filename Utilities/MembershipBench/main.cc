// Measures the cost per member and the latency of the membership protocol and
// the pool load exchange for several fleet sizes. All members run the
// production protocol code in one process in virtual time. CPU time includes
// that of the simulated network. Prints a table and optionally writes the
// results as JSON.

#include <gflags/gflags.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/GossipNetwork/exchange_fleet.h"
#include "Tests/Support/GossipNetwork/gossip_network.h"

DEFINE_string(sizes,
              "8,32,128,380",
              "fleet sizes in members, separated by commas");
DEFINE_uint64(seed, 1, "seed of the random number generators");
DEFINE_uint64(seconds,
              60,
              "duration of each steady-state measurement in virtual seconds");
DEFINE_uint64(kills,
              5,
              "number of members killed to measure failure detection");
DEFINE_double(drop, 0.01, "share of datagrams that are lost");
DEFINE_string(
    json,
    "",
    "file to which the results are written as JSON; empty writes none");

namespace wasabi::membership {
namespace {

using load::ExchangeFleet;

// The platform's host list contains one in this many members when the whole
// fleet starts at once.
constexpr int kMembersPerListed = 16;
// Time after which updates from the start are no longer transmitted.
constexpr core::Duration kSettleTime = core::seconds(120);
// Time limit for each change to reach all members.
constexpr core::Duration kLimit = core::seconds(120);

// The results for one fleet size.
struct Row {
  int members = 0;
  // Time until all members know each other.
  double join_seconds = 0;
  // Sent plus received bytes per second per member, for membership only.
  double gossip_mean = 0;
  double gossip_max = 0;
  // The same including the pool load exchange of one pool.
  double all_mean = 0;
  double all_max = 0;
  // CPU time per member as a fraction of one core.
  double core_share = 0;
  // Allocated memory per member.
  double memory_kib = 0;
  // Mean time until a killed member is first suspected.
  double suspect_seconds = 0;
  // Mean time until all members have declared it gone.
  double gone_seconds = 0;
  // Time until all members see that a member is leaving.
  double leaving_seconds = 0;
  // Time until 99 % and 100 % of the applied offsets are known.
  double offsets_99_seconds = 0;
  double offsets_all_seconds = 0;
  // Report interval of the pool load exchange.
  double pool_interval_seconds = 0;
};

// A column of the table and the field of Row that it shows.
struct Column {
  const char* name;
  double Row::*value;
};

constexpr Column kColumns[] = {
    {"join_s", &Row::join_seconds},
    {"gossip_Bps", &Row::gossip_mean},
    {"gossip_max", &Row::gossip_max},
    {"all_Bps", &Row::all_mean},
    {"all_max", &Row::all_max},
    {"core_share", &Row::core_share},
    {"memory_KiB", &Row::memory_kib},
    {"suspect_s", &Row::suspect_seconds},
    {"gone_s", &Row::gone_seconds},
    {"leaving_s", &Row::leaving_seconds},
    {"offset99_s", &Row::offsets_99_seconds},
    {"offset_s", &Row::offsets_all_seconds},
    {"pool_s", &Row::pool_interval_seconds},
};

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double AllocatedKib() {
  constexpr double kBytesPerKib = 1024;
  return static_cast<double>(mallinfo2().uordblks) / kBytesPerKib;
}

struct Rates {
  double mean = 0;
  double max = 0;
};

// Returns the mean and maximum traffic of the members in bytes per second, sent
// and received, over FLAGS_seconds.
Rates MeasureTraffic(GossipNetwork& network) {
  for (int i = 0; i < network.size(); ++i) {
    network.traffic(i) = {};
  }
  network.RunFor(core::seconds(FLAGS_seconds));
  Rates rates;
  for (int i = 0; i < network.size(); ++i) {
    const NodeTraffic& it = network.traffic(i);
    const double rate = static_cast<double>(it.sent_bytes + it.received_bytes) /
                        static_cast<double>(FLAGS_seconds);
    rates.mean += rate / network.size();
    rates.max = std::max(rates.max, rate);
  }
  return rates;
}

void MeasureSteadyState(GossipNetwork& network, Row* row) {
  const double before = ProcessorSeconds();
  const Rates gossip = MeasureTraffic(network);
  row->core_share = (ProcessorSeconds() - before) /
                    static_cast<double>(FLAGS_seconds) / network.size();
  row->gossip_mean = gossip.mean;
  row->gossip_max = gossip.max;
}

void MeasurePoolLoad(GossipNetwork& network, Row* row) {
  constexpr double kRequests = 10;
  constexpr double kTokens = 8000;
  ExchangeFleet fleet(&network, load::PoolLoadOptions().early_report_threshold);
  for (int i = 0; i < network.size(); ++i) {
    fleet.SetLocalDemand(i, {2, kRequests, kTokens});
  }
  network.RunFor(core::seconds(10));
  const Rates all = MeasureTraffic(network);
  row->all_mean = all.mean;
  row->all_max = all.max;
  row->pool_interval_seconds = core::ToSeconds(fleet.exchange(0).interval());
  network.SetTickHandler(nullptr);
  network.SetApplicationHandler(nullptr);
}

// Returns the fraction of (viewer, member) pairs in which the viewer knows that
// the member has applied `offset`.
double ShareOfOffsets(GossipNetwork& network, int64_t offset) {
  double known = 0;
  for (int i = 0; i < network.size(); ++i) {
    const auto table = network.protocol(i).table();
    const auto& members = table->members();
    known += static_cast<double>(std::count_if(
        members.begin(), members.end(),
        [offset](const Member& it) { return it.applied_offset == offset; }));
  }
  return known / network.size() / network.size();
}

void MeasureOffsets(GossipNetwork& network, Row* row) {
  constexpr int64_t kOffset = 1000;
  constexpr double kMostShare = 0.99;
  for (int i = 0; i < network.size(); ++i) {
    network.protocol(i).SetAppliedOffset(kOffset, network.now());
  }
  const core::Duration most = network.RunUntil(
      [&] { return ShareOfOffsets(network, kOffset) >= kMostShare; }, kLimit);
  const core::Duration rest = network.RunUntil(
      [&] { return ShareOfOffsets(network, kOffset) >= 1; }, kLimit);
  row->offsets_99_seconds = core::ToSeconds(most);
  row->offsets_all_seconds = core::ToSeconds(most + rest);
}

void MeasureLeaving(GossipNetwork& network, Row* row) {
  const int node = 0;
  network.protocol(node).AnnounceLeaving(network.now());
  row->leaving_seconds = core::ToSeconds(network.RunUntil(
      [&] { return network.AllSee(node, MemberState::kLeaving); }, kLimit));
}

// Measures the mean times until a killed member is first suspected and until
// all other members have declared it gone.
void MeasureDetection(GossipNetwork& network, Row* row) {
  const int kills = std::min(static_cast<int>(FLAGS_kills), network.size() - 3);
  for (int node = 1; node <= kills; ++node) {
    network.Kill(node);
    const auto is_suspected = [&] {
      return !network.AllSee(node, MemberState::kAlive);
    };
    const core::Duration suspected = network.RunUntil(is_suspected, kLimit);
    const core::Duration gone = network.RunUntil(
        [&] { return network.AllSee(node, MemberState::kGone); }, kLimit);
    row->suspect_seconds += core::ToSeconds(suspected) / kills;
    row->gone_seconds += core::ToSeconds(suspected + gone) / kills;
  }
}

Row Measure(int members) {
  Row row;
  row.members = members;
  const double memory_before = AllocatedKib();
  GossipNetwork network(
      {members, FLAGS_seed, FLAGS_drop, 1 + members / kMembersPerListed});
  const core::TimePoint start = network.now();
  network.StartAll();
  network.RunUntil([&] { return network.IsConverged(); }, kLimit);
  row.join_seconds = core::ToSeconds(network.now() - start);
  network.RunFor(kSettleTime);
  row.memory_kib = (AllocatedKib() - memory_before) / members;
  MeasureSteadyState(network, &row);
  MeasurePoolLoad(network, &row);
  MeasureOffsets(network, &row);
  network.RunFor(kSettleTime);
  MeasureLeaving(network, &row);
  MeasureDetection(network, &row);
  return row;
}

void PrintRow(const Row& row) {
  fmt::print("{:>7}", row.members);
  for (const Column& it : kColumns) {
    fmt::print(" {:>10.4g}", row.*it.value);
  }
  fmt::print("\n");
  std::fflush(stdout);
}

// The least-squares fit of a column over the number of members.
struct Line {
  double intercept = 0;
  double slope = 0;
  // The largest absolute deviation of a row from the line.
  double max_residual = 0;
};

Line Fit(const std::vector<Row>& rows, double Row::*value) {
  const auto n = static_cast<double>(rows.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const Row& it : rows) {
    mean_x += it.members / n;
    mean_y += it.*value / n;
  }
  double covariance = 0;
  double variance = 0;
  for (const Row& it : rows) {
    covariance += (it.members - mean_x) * (it.*value - mean_y);
    variance += (it.members - mean_x) * (it.members - mean_x);
  }
  Line line;
  line.slope = variance > 0 ? covariance / variance : 0;
  line.intercept = mean_y - line.slope * mean_x;
  for (const Row& it : rows) {
    const double residual =
        it.*value - line.intercept - line.slope * it.members;
    line.max_residual = std::max(line.max_residual, std::abs(residual));
  }
  return line;
}

void PrintLines(const std::vector<Row>& rows) {
  fmt::print("\n{:>10} {:>12} {:>12} {:>12}\n", "column", "intercept",
             "per member", "max residual");
  for (const Column& it : kColumns) {
    const Line line = Fit(rows, it.value);
    fmt::print("{:>10} {:>12.4g} {:>12.4g} {:>12.4g}\n", it.name,
               line.intercept, line.slope, line.max_residual);
  }
}

void WriteJson(const std::vector<Row>& rows) {
  nlohmann::json page;
  page["seed"] = FLAGS_seed;
  page["drop"] = FLAGS_drop;
  for (const Row& row : rows) {
    nlohmann::json it = {{"members", row.members}};
    for (const Column& column : kColumns) {
      it[column.name] = row.*column.value;
    }
    page["rows"].push_back(it);
  }
  for (const Column& column : kColumns) {
    const Line line = Fit(rows, column.value);
    page["lines"][column.name] = {{"intercept", line.intercept},
                                  {"per_member", line.slope},
                                  {"max_residual", line.max_residual}};
  }
  std::ofstream(FLAGS_json) << page.dump(2) << "\n";
}

int Main() {
  fmt::print("{:>7}", "members");
  for (const Column& it : kColumns) {
    fmt::print(" {:>10}", it.name);
  }
  fmt::print("\n");
  std::vector<Row> rows;
  for (const std::string& text : core::SplitList(FLAGS_sizes)) {
    const auto members = core::ParseNumber<int>(text);
    if (!members || *members < 2) {
      fmt::print(stderr,
                 "--sizes: {} is not a number of members of at least 2\n",
                 text);
      return 1;
    }
    rows.push_back(Measure(*members));
    PrintRow(rows.back());
  }
  PrintLines(rows);
  if (!FLAGS_json.empty()) {
    WriteJson(rows);
  }
  return 0;
}

}  // namespace
}  // namespace wasabi::membership

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures the membership protocol for several fleet sizes in virtual "
      "time");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wasabi::membership::Main();
}
