#include "Tests/LibForwarding/pace_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/endpoint_pace.h"
#include "LibForwarding/endpoint_selector.h"
#include "LibForwarding/endpoint_shares.h"
#include "LibForwarding/long_prompts.h"
#include "LibForwarding/pace_choice.h"
#include "LibForwarding/pace_exchange.h"
#include "LibForwarding/prompt_popularity.h"
#include "Tests/LibForwarding/engine_model.h"
#include "Tests/LibForwarding/prompt_cache_model.h"

namespace wasabi::forwarding {

namespace {

using core::milliseconds;
using core::seconds;

constexpr core::Duration kStep = milliseconds(2);
constexpr core::Duration kNetworkDelay = milliseconds(4);
constexpr core::Duration kTick = milliseconds(50);
// Hosts know the loads of the others this often and late.
constexpr core::Duration kLoadInterval = milliseconds(200);
constexpr size_t kDataCentres = 5;
constexpr size_t kAggregators = 3;
constexpr core::TimePoint kStart{seconds(1000)};
constexpr core::TimePoint kMeasuredFrom = kStart + seconds(3);
constexpr core::TimePoint kSlowFrom = kStart + seconds(7);
constexpr core::TimePoint kEnd = kStart + seconds(20);

// Share of the short prompts that are chats.
constexpr double kChatShareOfShort = 2.0 / 3;

struct KindOptions {
  core::Duration latency_objective;
  // Tokens of a prompt that others share, and that are its own.
  uint32_t shared_tokens;
  uint32_t own_tokens;
  double output_tokens;
  uint64_t prompts;
};

constexpr std::array<KindOptions, kPromptKinds> kKinds = {{
    {.latency_objective = milliseconds(500),
     .shared_tokens = 600,
     .own_tokens = 230,
     .output_tokens = 250,
     .prompts = 300},
    {.latency_objective = milliseconds(800),
     .shared_tokens = 600,
     .own_tokens = 230,
     .output_tokens = 24,
     .prompts = 100},
    {.latency_objective = milliseconds(1000),
     .shared_tokens = 500,
     .own_tokens = 10'000,
     .output_tokens = 250,
     .prompts = 300},
}};
// With PaceLoad::copies_shared_parts.
constexpr uint32_t kLongSharedTokens = 10'500;
constexpr uint32_t kShortSharedTokens = 700;
constexpr uint32_t kShortOwnTokens = 130;
struct OwnPart {
  double share;
  uint32_t tokens;
};
constexpr OwnPart kLongOwnParts[] = {{0.6, 1300}, {0.3, 5000}, {0.1, 11'000}};
constexpr core::Duration kGapObjective = milliseconds(300);

struct Stream {
  PromptKind kind = kChat;
  size_t host = 0;
  size_t endpoint = 0;
  uint64_t prompt = 0;
  uint32_t shared_tokens = 0;
  uint32_t own_tokens = 0;
  uint32_t output_tokens = 0;
  core::TimePoint arrived_at;
  core::TimePoint sent_at;
  core::TimePoint last_event_at;
  core::Duration longest_gap{};
  core::Duration first_event{};
  bool has_begun = false;
  bool is_measured = false;
};

struct Host {
  EndpointPace paces{0};
  std::unique_ptr<PaceExchange> exchange;
  PromptPopularity popularity;
  LongPromptDemand long_prompts;
  std::vector<uint32_t> own;
  std::vector<uint32_t> own_then;
  uint64_t bytes = 0;
  bool is_cut_off = false;
  bool is_earlier_build = false;
};

class Replay {
 public:
  Replay(const PaceLoad& load, uint64_t seed)
      : load_(load),
        random_(seed),
        hosts_(load.hosts),
        caches_(load.endpoints) {
    for (size_t i = 0; i < load.endpoints; ++i) {
      engines_.emplace_back(EngineOptions());
      endpoint_ids_.emplace_back(fmt::format("e{}", i));
      slowness_.push_back(1);
      slowness_now_.push_back(1);
    }
    counts_.resize(load.endpoints);
    known_counts_.resize(load.endpoints);
    for (size_t i = 0; i < load.hosts; ++i) {
      host_ids_.emplace_back(fmt::format("h{}", i));
    }
    for (size_t i = 0; i < load.hosts; ++i) {
      Host& host = hosts_[i];
      host.paces = EndpointPace(random_.Next());
      host.own.resize(load.endpoints);
      host.own_then.resize(load.endpoints);
      host.is_cut_off = static_cast<double>(i) <
                        load.cut_off_share * static_cast<double>(load.hosts);
      host.is_earlier_build =
          static_cast<double>(core::CombineHashes(seed, i) % 100) <
          load.earlier_build_share * 100;
      host.exchange = std::make_unique<PaceExchange>(
          host_ids_[i], &host.paces,
          [this, i](const std::vector<core::HostId>& to,
                    membership::ApplicationKind /*kind*/,
                    std::string_view body) { Send(i, to, body); });
      host.exchange->SetPeers(PeersOf(i));
    }
  }

  PaceResult Run() {
    for (now_ = kStart; now_ < kEnd; now_ += kStep) {
      SetSlowness();
      Deliver();
      Arrive();
      SubmitCopied();
      for (size_t i = 0; i < engines_.size(); ++i) {
        engines_[i].AdvanceTo(
            now_, [this](size_t id, core::TimePoint at, bool is_last) {
              OnEvent(streams_[id], at, is_last);
            });
      }
      RetryWaiting();
      ShareLoads();
      for (size_t i = 0; i < hosts_.size(); ++i) {
        // Hosts do not tick at the same time.
        if ((now_ - kStart + milliseconds(i * 2)) % kTick ==
            core::Duration::zero()) {
          hosts_[i].exchange->Tick(now_);
        }
      }
    }
    for (const Stream& it : streams_) {
      Count(it);
    }
    double total = 0;
    double most = 0;
    for (const Host& it : hosts_) {
      const double rate =
          static_cast<double>(it.bytes) / core::ToSeconds(load_.slow_time);
      total += rate;
      most = std::max(most, rate);
    }
    result_.mean_bytes_per_second = total / static_cast<double>(hosts_.size());
    result_.max_bytes_per_second = most;
    return result_;
  }

 private:
  // A request whose shared part is being copied to its endpoint.
  struct Copying {
    size_t id = 0;
    uint32_t prefilled = 0;
  };

  struct Datagram {
    core::TimePoint at;
    size_t from = 0;
    size_t to = 0;
    std::string body;
  };

  bool IsSlowPhase() const {
    return now_ >= kSlowFrom && now_ < kSlowFrom + load_.slow_time;
  }

  ReportPeers PeersOf(size_t self) const {
    ReportPeers peers;
    for (size_t i = 0; i < host_ids_.size(); ++i) {
      const bool is_near = i % kDataCentres == self % kDataCentres;
      if (i != self) {
        peers.fleet.push_back(host_ids_[i]);
      }
      if (i != self && is_near) {
        peers.data_centre.push_back(host_ids_[i]);
      }
      if (i / kDataCentres < kAggregators) {
        (is_near ? peers.aggregators : peers.other_aggregators)
            .push_back(host_ids_[i]);
      }
    }
    return peers;
  }

  void Send(size_t from,
            const std::vector<core::HostId>& to,
            std::string_view body) {
    constexpr size_t kHeaderBytes = 34;
    for (const core::HostId& it : to) {
      if (it == host_ids_[from]) {
        continue;
      }
      if (IsSlowPhase()) {
        hosts_[from].bytes += body.size() + kHeaderBytes;
      }
      datagrams_.push_back({.at = now_ + kNetworkDelay,
                            .from = from,
                            .to = std::stoul(it.value().substr(1)),
                            .body = std::string(body)});
    }
  }

  // Returns a datagram as its receiver reads it.
  std::string BodyOf(const Datagram& datagram) const {
    if (!hosts_[datagram.from].is_earlier_build &&
        !hosts_[datagram.to].is_earlier_build) {
      return datagram.body;
    }
    PaceReports reports = *core::Decode<PaceReports>(datagram.body);
    reports.purpose = static_cast<uint8_t>(PacePurpose::kNone);
    return core::Encode(reports);
  }

  void Deliver() {
    size_t n = 0;
    while (n < datagrams_.size() && datagrams_[n].at <= now_) {
      const Datagram& it = datagrams_[n++];
      if (!hosts_[it.from].is_cut_off && !hosts_[it.to].is_cut_off) {
        hosts_[it.to]
            .exchange->OnReports(host_ids_[it.from], BodyOf(it), now_)
            .IgnoreError();
      }
    }
    datagrams_.erase(datagrams_.begin(),
                     datagrams_.begin() + static_cast<ptrdiff_t>(n));
  }

  void SetSlowness() {
    if (now_ == kSlowFrom) {
      for (double& it : slowness_) {
        it =
            random_.Unit() < load_.slow_share
                ? load_.min_slowness +
                      (load_.max_slowness - load_.min_slowness) * random_.Unit()
                : 1;
      }
    } else if (now_ == kSlowFrom + load_.slow_time) {
      std::fill(slowness_.begin(), slowness_.end(), 1.0);
    }
    for (size_t i = 0; i < engines_.size(); ++i) {
      double swing = 1;
      if (load_.swing > core::Duration::zero()) {
        const auto n = static_cast<uint64_t>((now_ - kStart) / load_.swing);
        swing = core::CombineHashes(n, i) % 2 == 0 ? 0.5 : 1.5;
      }
      slowness_now_[i] = slowness_[i] * swing;
      engines_[i].SetSlowness(slowness_now_[i]);
    }
  }

  void Arrive() {
    double rate = load_.requests_per_second * core::ToSeconds(kStep);
    rate *= IsSlowPhase() ? load_.burst : 1;
    const auto n = static_cast<int>(rate) +
                   (random_.Unit() < rate - std::floor(rate) ? 1 : 0);
    for (int i = 0; i < n; ++i) {
      Stream stream;
      const double draw = random_.Unit();
      const double chat_share = (1 - load_.long_share) * kChatShareOfShort;
      stream.kind = draw < chat_share             ? kChat
                    : draw < 1 - load_.long_share ? kTags
                                                  : kLong;
      const KindOptions& kind = kKinds[stream.kind];
      stream.host = random_.Below(hosts_.size());
      const double skew = random_.Unit();
      stream.prompt = core::CombineHashes(
          static_cast<uint64_t>(skew * skew *
                                static_cast<double>(kind.prompts)),
          stream.kind);
      // Half to twice the median.
      stream.output_tokens = static_cast<uint32_t>(
          kind.output_tokens * std::exp2(2 * random_.Unit() - 1));
      stream.arrived_at = now_;
      stream.is_measured = now_ >= kMeasuredFrom;
      SetPrompt(stream);
      if (PlacementFor(stream) == PromptPlacement::kLong) {
        hosts_[stream.host].long_prompts.Record(stream.own_tokens, now_);
      }
      streams_.push_back(stream);
      if (!TrySend(streams_.size() - 1)) {
        waiting_.push_back(streams_.size() - 1);
      }
    }
  }

  void SetPrompt(Stream& stream) {
    const KindOptions& kind = kKinds[stream.kind];
    stream.shared_tokens = kind.shared_tokens;
    stream.own_tokens = kind.own_tokens;
    if (!load_.copies_shared_parts) {
      return;
    }
    if (stream.kind != kLong) {
      stream.shared_tokens = kShortSharedTokens;
      stream.own_tokens = kShortOwnTokens;
      return;
    }
    stream.shared_tokens = kLongSharedTokens;
    double draw = random_.Unit();
    for (const OwnPart& it : kLongOwnParts) {
      stream.own_tokens = it.tokens;
      draw -= it.share;
      if (draw < 0) {
        return;
      }
    }
  }

  PromptPlacement PlacementFor(const Stream& stream) const {
    return PlacementOf(stream.own_tokens,
                       load_.ignores_shared_parts ? 0 : stream.shared_tokens);
  }

  void RetryWaiting() {
    std::erase_if(waiting_, [this](size_t id) { return TrySend(id); });
  }

  uint32_t KnownLoad(const Host& host, size_t endpoint) const {
    const uint32_t total = known_counts_[endpoint];
    return host.own[endpoint] + total -
           std::min(total, host.own_then[endpoint]);
  }

  static CallerNeeds NeedsOf(const Stream& stream) {
    const KindOptions& kind = kKinds[stream.kind];
    return {.latency_objective = kind.latency_objective,
            .gap_objective = kGapObjective,
            .is_stream = true,
            .uncached_tokens = stream.own_tokens};
  }

  bool TrySend(size_t id) {
    Stream& stream = streams_[id];
    Host& host = hosts_[stream.host];
    std::vector<EndpointCandidate> candidates;
    for (size_t i = 0; i < engines_.size(); ++i) {
      candidates.push_back(
          {.hash = endpoint_ids_[i].Hash(),
           .load = KnownLoad(host, i),
           .slots = static_cast<uint32_t>(engines_[i].slots())});
    }
    for (EndpointCandidate& it : candidates) {
      it.share = shares_.Of(it.hash);
    }
    if (load_.uses_pace) {
      std::vector<const core::RunnerId*> ids;
      for (const core::RunnerId& it : endpoint_ids_) {
        ids.push_back(&it);
      }
      ApplyPaces(host.paces, kPool, ids, NeedsOf(stream), now_, candidates);
    }
    if (load_.places_long_prompts) {
      ApplyLongPrompts(host.long_prompts.TokensPerSecond(now_) *
                           static_cast<double>(hosts_.size()),
                       PlacementFor(stream), candidates);
    }
    const double popularity = host.popularity.Record(stream.prompt, now_);
    const Affinity affinity{
        .key = stream.prompt,
        .replicas = ReplicasFor(popularity, engines_.size(), kLoadInterval)};
    const Selection selection =
        SelectEndpoint(candidates, affinity, random_.Next(), policy_);
    if (selection.outcome != SelectionOutcome::kChosen) {
      return false;
    }
    Begin(id, selection.index);
    return true;
  }

  void Begin(size_t id, size_t endpoint) {
    Stream& stream = streams_[id];
    stream.endpoint = endpoint;
    stream.sent_at = now_;
    ++hosts_[stream.host].own[endpoint];
    const uint32_t held = ++counts_[endpoint];
    ++total_;
    result_.copies += places_.emplace(stream.prompt, endpoint).second ? 1 : 0;
    Submit(id);
    const bool is_calm =
        now_ >= kMeasuredFrom &&
        (now_ < kSlowFrom || now_ > kSlowFrom + load_.slow_time + seconds(3));
    if (is_calm) {
      const double mean =
          static_cast<double>(total_) / static_cast<double>(engines_.size());
      ++result_.calm_starts;
      result_.above_bound += held > 2 * mean + 3 ? 1 : 0;
    }
    if (load_.states_speed) {
      hosts_[stream.host].paces.RecordStated(kPool, endpoint_ids_[endpoint],
                                             slowness_now_[endpoint], now_);
    }
  }

  void Submit(size_t id) {
    const Stream& stream = streams_[id];
    if (!load_.copies_shared_parts) {
      // A prompt that any endpoint has is copied in no time.
      const bool is_cached = !known_prompts_.insert(stream.prompt).second;
      engines_[stream.endpoint].Submit(
          id, stream.own_tokens + (is_cached ? 0 : stream.shared_tokens),
          stream.output_tokens, now_);
      return;
    }
    const PromptCacheModel::Use use = caches_.UseAt(
        stream.endpoint, stream.prompt, stream.shared_tokens, now_);
    if (stream.is_measured) {
      result_.copied_tokens += use.copied_tokens;
      result_.read_again_tokens += use.prefilled_tokens;
      result_.leaving_tokens += PlacementFor(stream) == PromptPlacement::kLong
                                    ? stream.own_tokens
                                    : 0;
    }
    copying_.emplace(use.ready_at,
                     Copying{.id = id, .prefilled = use.prefilled_tokens});
  }

  // Submits the requests whose shared part has been copied.
  void SubmitCopied() {
    while (!copying_.empty() && copying_.begin()->first <= now_) {
      const Copying it = copying_.begin()->second;
      const Stream& stream = streams_[it.id];
      engines_[stream.endpoint].Submit(it.id, stream.own_tokens + it.prefilled,
                                       stream.output_tokens, now_);
      copying_.erase(copying_.begin());
    }
  }

  void OnEvent(Stream& stream, core::TimePoint at, bool is_last) {
    Host& host = hosts_[stream.host];
    if (!stream.has_begun) {
      stream.has_begun = true;
      stream.first_event = at - stream.arrived_at;
      host.paces.RecordAnswer(kPool, endpoint_ids_[stream.endpoint],
                              NeedsOf(stream), at - stream.sent_at, now_);
    } else {
      const core::Duration gap = at - stream.last_event_at;
      stream.longest_gap = std::max(stream.longest_gap, gap);
      if (!is_last) {
        host.paces.RecordGap(kPool, endpoint_ids_[stream.endpoint], gap,
                             KnownLoad(host, stream.endpoint), now_);
      }
    }
    stream.last_event_at = at;
    if (is_last) {
      --host.own[stream.endpoint];
      --counts_[stream.endpoint];
      --total_;
    }
  }

  void ShareLoads() {
    if ((now_ - kStart) % kLoadInterval != core::Duration::zero()) {
      return;
    }
    known_counts_ = counts_;
    std::vector<EndpointCandidate> candidates;
    for (size_t i = 0; i < engines_.size(); ++i) {
      candidates.push_back(
          {.hash = endpoint_ids_[i].Hash(), .load = counts_[i], .slots = 32});
    }
    shares_.Update(candidates, policy_, kLoadInterval, now_);
    for (Host& it : hosts_) {
      it.own_then = it.own;
    }
  }

  void Count(const Stream& stream) {
    if (!stream.is_measured || stream.arrived_at > kEnd - seconds(3)) {
      return;
    }
    const KindOptions& options = kKinds[stream.kind];
    KindResult& kind = result_.kinds[stream.kind];
    const core::Duration first =
        stream.has_begun ? stream.first_event : kEnd - stream.arrived_at;
    const bool is_late_start = first > options.latency_objective;
    const bool is_late = is_late_start || stream.longest_gap > kGapObjective;
    ++kind.streams;
    ++result_.streams;
    kind.late_starts += is_late_start ? 1 : 0;
    kind.late += is_late ? 1 : 0;
    result_.late += is_late ? 1 : 0;
    kind.first_event_ms.push_back(core::ToSeconds(first) * 1000);
    kind.longest_gap_ms.push_back(core::ToSeconds(stream.longest_gap) * 1000);
  }

  inline static const core::PoolId kPool{"p"};

  const PaceLoad load_;
  const SelectionPolicy policy_ = PolicyForReportInterval({}, kLoadInterval);
  core::RandomSource random_;
  core::TimePoint now_ = kStart;
  std::vector<Host> hosts_;
  std::vector<core::HostId> host_ids_;
  std::vector<EngineModel> engines_;
  std::vector<core::RunnerId> endpoint_ids_;
  std::vector<double> slowness_;
  std::vector<double> slowness_now_;
  std::set<uint64_t> known_prompts_;
  // Prompts and the endpoints that have had them.
  std::set<std::pair<uint64_t, size_t>> places_;
  PromptCacheModel caches_;
  std::multimap<core::TimePoint, Copying> copying_;
  std::vector<uint32_t> counts_;
  std::vector<uint32_t> known_counts_;
  uint64_t total_ = 0;
  EndpointShares shares_;
  std::vector<Stream> streams_;
  std::vector<size_t> waiting_;
  std::vector<Datagram> datagrams_;
  PaceResult result_;
};

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto it =
      values.begin() +
      static_cast<ptrdiff_t>(static_cast<double>(values.size() - 1) * quantile);
  std::nth_element(values.begin(), it, values.end());
  return *it;
}

}  // namespace

double KindResult::FirstEvent(double quantile) const {
  return Quantile(first_event_ms, quantile);
}

double KindResult::LongestGap(double quantile) const {
  return Quantile(longest_gap_ms, quantile);
}

PaceResult ReplayPace(const PaceLoad& load, uint64_t seed) {
  return Replay(load, seed).Run();
}

}  // namespace wasabi::forwarding
