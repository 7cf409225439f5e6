// Replays, in virtual time, a pool in which endpoints turn cold while callers
// send 650 requests/s. Hosts learn of it at different times within 1.2 s, and
// the host that grants the permits dies, is cut off or is slow. Guards against
// more requests than a cold endpoint survives.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/rendezvous.h"
#include "LibCore/text.h"
#include "LibForwarding/endpoint_selector.h"
#include "LibForwarding/permit_exchange.h"
#include "Tests/LibForwarding/ask_exchange.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr size_t kEndpoints = 90;
constexpr double kRequestsPerSecond = 650;
constexpr double kColdPerSecond = 14;
constexpr core::Duration kWarmUp = seconds(3);
// What a cold endpoint may get in any second.
constexpr size_t kMaxPerSecond = 26;
constexpr core::Duration kSpread = milliseconds(1200);
// Hosts to which another host relays a registration have it within this time.
constexpr core::Duration kRelaySpread = milliseconds(200);
constexpr core::Duration kStep = milliseconds(5);
constexpr core::Duration kTick = milliseconds(50);
// Age that known loads may reach (docs/PLATFORM.md).
constexpr core::Duration kReportInterval = milliseconds(600);
constexpr core::Duration kRequestTime = milliseconds(1000);
// Time in which hosts notice that another one has gone or was cut off.
constexpr double kMembershipSeconds = 2;
constexpr size_t kDataCentres = 5;
constexpr size_t kAggregators = 3;
constexpr uint32_t kSlots = 32;
constexpr int kMaxQuestions = 4;

enum class Onset : uint8_t {
  // An endpoint with a new id: hosts that have not read it send nothing.
  kNew,
  // A known endpoint, to which hosts that have not read it send as before.
  kAgain,
  // As kAgain, and the endpoint loses its requests.
  kRestart,
  kWholePool,
};

enum class Fault : uint8_t {
  kNone,
  kGranterKilled,
  kGranterCutOff,
  kGranterSlow,
  // A third of the hosts see only each other, from before on.
  kParts,
  // A third of the hosts are alone. They never read the registration.
  kAlone,
};

struct Row {
  const char* what;
  Onset onset = Onset::kNew;
  Fault fault = Fault::kNone;
  bool has_cold_state = true;
  // Time within which the hosts read the registration.
  core::Duration spread = kSpread;
};

class ColdReplay {
 public:
  ColdReplay(const Row& row, size_t hosts, uint64_t seed)
      : row_(row), random_(seed), arrivals_(kEndpoints + 1) {
    for (size_t i = 0; i <= kEndpoints; ++i) {
      endpoints_.emplace_back(fmt::format("e{}-{}", i, seed));
    }
    loads_.resize(kEndpoints + 1);
    reported_.assign(hosts, loads_);
    for (size_t i = 0; i < hosts; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
      is_up_.push_back(true);
      groups_.push_back(0);
      if (i < hosts / 3 && row.fault == Fault::kParts) {
        groups_.back() = 1;
      } else if (i < hosts / 3 && row.fault == Fault::kAlone) {
        groups_.back() = static_cast<int>(i) + 1;
      }
      own_.emplace_back(kEndpoints + 1);
      knows_new_.push_back(false);
      hosts_.push_back(std::make_unique<PermitExchange>(
          ids_[i],
          [this, i](const std::vector<core::HostId>& to,
                    membership::ApplicationKind kind,
                    std::string_view body) { Send(i, to, kind, body); },
          /*first_sequence=*/0));
    }
    for (size_t i = 0; i < hosts; ++i) {
      SetHosts(i);
    }
  }

  void Run() {
    At(kOnset, [this]() { TurnCold(); });
    for (; now_ < kEnd; now_ += kStep) {
      while (!tasks_.empty() && tasks_.begin()->first <= now_) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
      }
      for (size_t i = 0; i < hosts_.size(); ++i) {
        const core::Duration phase = kStep * static_cast<int>(i % 120);
        if ((now_ - kStart + phase) % kReportInterval ==
            core::Duration::zero()) {
          reported_[i] = loads_;
        }
      }
      for (double n = kRequestsPerSecond * core::ToSeconds(kStep); n > 0; --n) {
        if (random_.Unit() < n) {
          Arrive();
        }
      }
      if ((now_ - kStart) % kTick == core::Duration::zero()) {
        for (size_t i = 0; i < hosts_.size(); ++i) {
          if (is_up_[i]) {
            hosts_[i]->Tick(now_);
          }
        }
      }
    }
  }

  // Returns the most requests that a cold endpoint got in any second.
  size_t Worst() const {
    size_t worst = 0;
    for (size_t e = 0; e < arrivals_.size(); ++e) {
      const auto& times = arrivals_[e];
      size_t first = 0;
      for (size_t last = 0; IsColdAtAll(e) && last < times.size(); ++last) {
        while (times[last] - times[first] > seconds(1)) {
          ++first;
        }
        worst = std::max(worst, last - first + 1);
      }
    }
    return worst;
  }
  double Served() const {
    return static_cast<double>(served_) / static_cast<double>(requests_);
  }
  // Requests in which a host asked more often than it may.
  int most_questions() const { return most_questions_; }
  size_t ColdArrivals() const {
    size_t sum = 0;
    for (size_t e = 0; e < arrivals_.size(); ++e) {
      sum += IsColdAtAll(e) ? arrivals_[e].size() : 0;
    }
    return sum;
  }
  // Returns the bytes per second of the busiest host in the cold time.
  double MostBytesPerSecond() const {
    std::map<size_t, uint64_t> sums;
    uint64_t most = 0;
    for (const auto& [key, bytes] : bytes_) {
      most = std::max(most, sums[key.first] += bytes);
    }
    return static_cast<double>(most) / core::ToSeconds(kWarmUp);
  }

 private:
  static constexpr core::TimePoint kStart{seconds(1000)};
  static constexpr core::TimePoint kOnset = kStart + seconds(3);
  static constexpr core::TimePoint kColdEnd = kOnset + kWarmUp;
  static constexpr core::TimePoint kEnd = kColdEnd;

  size_t First() const {
    return row_.onset == Onset::kNew ? kEndpoints : size_t{0};
  }
  bool IsColdAtAll(size_t e) const {
    return row_.onset == Onset::kWholePool ? e < kEndpoints : e == First();
  }
  void At(core::TimePoint at, std::function<void()> task) {
    tasks_.emplace(at, std::move(task));
  }

  size_t Granter() const {
    std::vector<core::RendezvousCandidate> all;
    for (const core::HostId& it : ids_) {
      all.push_back({.hash = it.Hash(), .weight = 1.0});
    }
    return core::RendezvousWinner(endpoints_[First()].Hash(), all);
  }

  void TurnCold() {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      const bool is_deaf = row_.fault == Fault::kAlone && groups_[i] != 0;
      const auto delay = core::FromSeconds(
          0.05 + random_.Unit() * core::ToSeconds(row_.spread));
      if (!is_deaf) {
        At(now_ + delay, [this, i]() { Read(i); });
      }
    }
    if (row_.onset == Onset::kRestart) {
      ++life_;
      loads_[0] = 0;
      for (auto& own : own_) {
        own[0] = 0;
      }
    }
    constexpr core::Duration kUntilFault = milliseconds(400);
    if (row_.fault == Fault::kGranterSlow) {
      slow_ = Granter();
    } else if (row_.fault == Fault::kGranterKilled) {
      At(now_ + kUntilFault, [this]() {
        is_up_[Granter()] = false;
        NoticeChange();
      });
    } else if (row_.fault == Fault::kGranterCutOff) {
      At(now_ + kUntilFault, [this]() {
        groups_[Granter()] = 1;
        NoticeChange();
      });
    }
  }

  void NoticeChange() {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      At(now_ + core::FromSeconds(kMembershipSeconds * random_.Unit()),
         [this, i]() { SetHosts(i); });
    }
  }

  // A host reads the registrations that tell it of the cold endpoints.
  void Read(size_t host) {
    knows_new_[host] = true;
    for (size_t e = 0; e <= kEndpoints && row_.has_cold_state; ++e) {
      if (IsColdAtAll(e)) {
        hosts_[host]->MarkCold(endpoints_[e], kColdPerSecond, kWarmUp, now_);
      }
    }
  }

  void SetHosts(size_t self) {
    std::vector<core::HostId> running;
    ReportPeers peers;
    for (size_t i = 0; i < ids_.size(); ++i) {
      if (!is_up_[i] || groups_[i] != groups_[self]) {
        continue;
      }
      running.push_back(ids_[i]);
      const bool is_near = i % kDataCentres == self % kDataCentres;
      if (i != self) {
        peers.fleet.push_back(ids_[i]);
      }
      if (i != self && is_near) {
        peers.data_centre.push_back(ids_[i]);
      }
      if (i / kDataCentres < kAggregators) {
        (is_near ? peers.aggregators : peers.other_aggregators)
            .push_back(ids_[i]);
      }
    }
    hosts_[self]->SetHosts(running, ids_.size());
    hosts_[self]->SetPeers(peers);
  }

  void Send(size_t from,
            const std::vector<core::HostId>& to,
            membership::ApplicationKind kind,
            std::string_view body) {
    const auto second = (now_ - kStart) / seconds(1);
    bytes_[{from, second}] += body.size() * to.size();
    for (const core::HostId& it : to) {
      const size_t receiver = std::stoul(it.value().substr(1));
      const core::Duration delay = slow_ == from ? milliseconds(80) : kStep;
      At(now_ + delay,
         [this, from, receiver, kind, text = std::string(body)]() {
           if (is_up_[receiver] && groups_[from] == groups_[receiver]) {
             Deliver(from, receiver, kind, text);
           }
         });
    }
  }

  void Deliver(size_t from,
               size_t to,
               membership::ApplicationKind kind,
               const std::string& body) {
    PermitExchange& host = *hosts_[to];
    using Kind = membership::ApplicationKind;
    const absl::Status status = kind == Kind::kColdEndpoints
                                    ? host.OnColdReports(body, now_)
                                : kind == Kind::kPermitQuestion
                                    ? host.OnQuestion(ids_[from], body, now_)
                                    : host.OnAnswer(ids_[from], body, now_);
    REQUIRE(status.ok());
  }

  void Arrive() {
    const size_t host = random_.Below(hosts_.size());
    if (is_up_[host]) {
      requests_ += now_ >= kOnset ? 1 : 0;
      Dispatch(host, 0);
    }
  }

  void Dispatch(size_t host, int questions) {
    most_questions_ = std::max(most_questions_, questions);
    PermitExchange& permits = *hosts_[host];
    // As in ForwardSession: after a denied permit, hosts choose by their own
    // requests, because all of them find the same endpoint least loaded.
    const bool uses_reports =
        questions == 0 && (row_.fault != Fault::kAlone || groups_[host] == 0);
    std::vector<EndpointCandidate> candidates;
    for (size_t e = 0; e <= kEndpoints; ++e) {
      const bool is_known = e < kEndpoints || knows_new_[host];
      const bool is_closed =
          now_ < permits.ExhaustedUntil(endpoints_[e]) ||
          (questions >= kMaxQuestions && permits.IsLimited(endpoints_[e]));
      candidates.push_back(
          {.hash = endpoints_[e].Hash(),
           .load = uses_reports ? std::max(reported_[host][e], own_[host][e])
                                : own_[host][e],
           .slots = kSlots,
           .is_excluded = !is_known || is_closed});
    }
    const Selection selection = SelectEndpoint(
        candidates, std::nullopt, random_.Next(), SelectionPolicy());
    if (selection.outcome != SelectionOutcome::kChosen) {
      return;
    }
    const size_t e = selection.index;
    if (!permits.IsLimited(endpoints_[e])) {
      Start(host, e);
      return;
    }
    // A local denial is no question, but ends this choice as one does.
    AskExchange(permits, endpoints_[e], now_,
                [this, host, e, questions](bool is_granted) {
                  if (is_granted) {
                    Start(host, e);
                  } else {
                    Dispatch(host, questions + 1);
                  }
                });
  }

  void Start(size_t host, size_t e) {
    if (now_ >= kOnset) {
      ++served_;
      arrivals_[e].push_back(now_);
    }
    ++loads_[e];
    ++own_[host][e];
    At(now_ + kRequestTime, [this, host, e, life = life_]() {
      if (e != 0 || life == life_) {
        --loads_[e];
        --own_[host][e];
      }
    });
  }

  const Row row_;
  core::RandomSource random_;
  core::TimePoint now_ = kStart;
  std::vector<core::HostId> ids_;
  std::vector<core::RunnerId> endpoints_;
  std::vector<std::unique_ptr<PermitExchange>> hosts_;
  std::vector<bool> is_up_;
  // Hosts of different groups are cut off from each other.
  std::vector<int> groups_;
  std::vector<bool> knows_new_;
  std::vector<uint32_t> loads_;
  // What each host was told of the loads.
  std::vector<std::vector<uint32_t>> reported_;
  std::vector<std::vector<uint32_t>> own_;
  std::multimap<core::TimePoint, std::function<void()>> tasks_;
  std::vector<std::vector<core::TimePoint>> arrivals_;
  std::map<std::pair<size_t, int64_t>, uint64_t> bytes_;
  size_t slow_ = SIZE_MAX;
  int life_ = 0;
  int most_questions_ = 0;
  size_t requests_ = 0;
  size_t served_ = 0;
};

TEST_CASE("a cold endpoint gets no more than it survives") {
  const Row rows[] = {
      {"new", Onset::kNew},
      {"cold again", Onset::kAgain},
      {"restarted", Onset::kRestart},
      {"the whole pool", Onset::kWholePool},
      {"new, granter killed", Onset::kNew, Fault::kGranterKilled},
      {"new, granter cut off", Onset::kNew, Fault::kGranterCutOff},
      {"new, granter slow", Onset::kNew, Fault::kGranterSlow},
      {"new, parts", Onset::kNew, Fault::kParts},
      {"again, granter killed", Onset::kAgain, Fault::kGranterKilled},
      {"again, granter cut off", Onset::kAgain, Fault::kGranterCutOff},
      {"again, granter slow", Onset::kAgain, Fault::kGranterSlow},
      {"again, parts", Onset::kAgain, Fault::kParts},
      {"again, a third alone", Onset::kAgain, Fault::kAlone},
      {"new, relayed", Onset::kNew, Fault::kNone, true, kRelaySpread},
      {"whole pool, relayed", Onset::kWholePool, Fault::kNone, true,
       kRelaySpread},
      {"new, relayed, granter killed", Onset::kNew, Fault::kGranterKilled, true,
       kRelaySpread},
      {"new, relayed, parts", Onset::kNew, Fault::kParts, true, kRelaySpread},
      {"whole pool, granter killed", Onset::kWholePool, Fault::kGranterKilled},
      {"whole pool, parts", Onset::kWholePool, Fault::kParts},
  };
  for (const Row& row : rows) {
    for (const size_t hosts : {8, 90, 300}) {
      for (const uint64_t seed : {1, 2, 3, 4, 5}) {
        INFO(row.what << ", " << hosts << " hosts, seed " << seed);
        ColdReplay replay(row, hosts, seed);
        replay.Run();
        CAPTURE(replay.Worst(), replay.Served(), replay.ColdArrivals(),
                replay.MostBytesPerSecond(), replay.most_questions());
        CHECK(replay.Worst() <= kMaxPerSecond);
        CHECK(replay.Served() >= 0.9);
        CHECK(replay.MostBytesPerSecond() <= 18'000);
      }
    }
  }
}

TEST_CASE("without the cold state the same load is too much") {
  // Shows that the replay fails without permits for cold endpoints. In fleets
  // as small as 8 hosts the loads that hosts report are recent enough.
  for (const size_t hosts : {90, 300}) {
    size_t worst = 0;
    for (const uint64_t seed : {1, 2, 3, 4, 5}) {
      ColdReplay replay({.what = "no cold state",
                         .has_cold_state = false,
                         .spread = kRelaySpread},
                        hosts, seed);
      replay.Run();
      worst = std::max(worst, replay.Worst());
    }
    INFO(hosts << " hosts: " << worst);
    CHECK(worst > kMaxPerSecond);
  }
}

}  // namespace
}  // namespace wasabi::forwarding
