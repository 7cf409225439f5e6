#include "Tests/LibForwarding/late_reports_replay.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "LibCore/hash.h"
#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/endpoint_selector.h"
#include "LibForwarding/endpoint_shares.h"
#include "LibForwarding/prompt_popularity.h"

namespace wasabi::forwarding {

namespace {

using Candidates = std::vector<EndpointCandidate>;

constexpr uint32_t kSlots = 64;
constexpr uint64_t kKeySeed = 9;

Candidates MakePool(size_t n) {
  Candidates pool;
  for (size_t i = 0; i < n; ++i) {
    pool.push_back(
        {.hash = core::StableHash(fmt::format("{}", i)), .slots = kSlots});
  }
  return pool;
}

}  // namespace

LateReportsResult ReplayLateReports(const LateReportsLoad& load) {
  core::RandomSource random(load.seed);
  const SelectionPolicy policy =
      PolicyForReportInterval({.load_bound = 2.0}, load.interval);
  Candidates truth = MakePool(load.endpoints);
  std::vector<Candidates> views(load.hosts, truth);
  std::vector<PromptPopularity> popularity(load.hosts);
  // All hosts have the same reports, so they share one instance here.
  EndpointShares shares;
  std::vector<size_t> started;
  std::set<std::pair<uint64_t, size_t>> places;
  LateReportsResult result;
  result.requests = load.requests_per_interval * load.intervals;
  for (int i = 0; i < result.requests; ++i) {
    if (i % load.requests_per_interval == 0) {
      shares.Update(truth, policy, load.interval,
                    core::TimePoint(load.interval) +
                        load.interval * i / load.requests_per_interval);
      for (EndpointCandidate& it : truth) {
        it.share = shares.Of(it.hash);
      }
      views.assign(load.hosts, truth);
    }
    if (i >= load.running) {
      --truth[started[static_cast<size_t>(i - load.running)]].load;
    }
    const size_t host = random.Below(load.hosts);
    const bool is_hot = random.Unit() < load.hot_share;
    const uint64_t prompt = is_hot ? 0 : random.Below(load.prompts);
    const uint64_t key = core::CombineHashes(prompt, kKeySeed);
    const core::TimePoint now = core::TimePoint(core::seconds(1)) +
                                load.interval * i / load.requests_per_interval;
    const double share = popularity[host].Record(key, now);
    const Affinity affinity{
        .key = key,
        .replicas = ReplicasFor(share, load.endpoints, load.interval)};
    const Selection selection =
        SelectEndpoint(views[host], affinity, random.Next(), policy);
    if (selection.outcome != SelectionOutcome::kChosen) {
      ++result.above_bound;
      started.push_back(0);
      ++truth[0].load;
      continue;
    }
    ++views[host][selection.index].load;
    const uint32_t held = ++truth[selection.index].load;
    started.push_back(selection.index);
    places.emplace(prompt, selection.index);
    const double mean = std::min(i + 1.0, static_cast<double>(load.running)) /
                        static_cast<double>(load.endpoints);
    result.above_bound += held > 2 * mean + 3 ? 1 : 0;
  }
  result.places = places.size();
  return result;
}

}  // namespace wasabi::forwarding
