// Replays, in virtual time, fleets whose hosts keep the limits of endpoints
// together, while hosts come, go and are cut off, and while limits change.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/permit_exchange.h"
#include "Tests/LibForwarding/ask_exchange.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr size_t kDataCentres = 5;
constexpr size_t kAggregators = 3;
constexpr core::Duration kStep = milliseconds(5);
constexpr core::Duration kNetworkDelay = milliseconds(5);
constexpr core::Duration kTick = milliseconds(50);
// Time in which a host notices that another one has gone, come or been cut off.
constexpr double kMembershipSeconds = 2;
// A host is bound by a limit this long after it has relayed an answer with it.
constexpr core::Duration kTimeToBind = milliseconds(500);
constexpr core::Duration kWindow = seconds(4);
// An endpoint may get this many times what its limit allows in a window, and
// this many requests more.
constexpr double kMaxFactor = 1.5;
constexpr double kMaxExtra = 5;
constexpr double kLimit = 4;

enum class Event : uint8_t {
  kNone,
  kKill,
  kJoin,
  kSplit,
  kIsolate,
  kHalveLimit,
  kEndLimit,
  kRestartEndpoint,
};

struct Load {
  const char* what;
  // Requests per second for an endpoint, as a multiple of its limit.
  double demand;
  Event event = Event::kNone;
  // Share of the hosts that the event affects.
  double share = 0;
  // Share of the datagrams that get lost.
  double lost = 0;
  // Share of what the limit allows that is used at least, over the run.
  double min_use = 0.7;
};

class Replay {
 public:
  Replay(const Load& load, size_t hosts, uint64_t seed)
      : load_(load), random_(seed) {
    for (size_t i = 0; i < hosts; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
      groups_.push_back(0);
      told_at_.emplace_back();
      is_up_.push_back(true);
      hosts_.push_back(NewHost(i));
    }
    if (load_.event == Event::kJoin) {
      for (size_t i = 0; i < Affected(); ++i) {
        is_up_[i] = false;
      }
    }
    for (size_t i = 0; i < hosts; ++i) {
      SetHosts(i);
    }
  }

  void Run() {
    for (; now_ < kEnd; now_ += kStep) {
      if (now_ == kEventAt) {
        Happen();
      }
      for (const auto& task : TakeDue()) {
        task();
      }
      Arrive();
      if ((now_ - kStart) % kTick == core::Duration::zero()) {
        for (size_t i = 0; i < hosts_.size(); ++i) {
          if (is_up_[i]) {
            hosts_[i]->Tick(now_);
          }
        }
      }
    }
  }

  // Returns by how many requests the endpoint got more than it may in the worst
  // window; negative if it never did.
  double WorstExcess() const {
    double worst = -1e9;
    for (size_t i = 0; i < bound_arrivals_.size(); ++i) {
      const core::TimePoint from = bound_arrivals_[i];
      const auto end = std::upper_bound(bound_arrivals_.begin(),
                                        bound_arrivals_.end(), from + kWindow);
      const auto n = end - bound_arrivals_.begin() - static_cast<int64_t>(i);
      worst = std::max(
          worst, static_cast<double>(n) -
                     (kMaxFactor * Allowed(from, from + kWindow) + kMaxExtra));
    }
    return worst;
  }

  // Returns the share of what the limit allows that the endpoint got, from the
  // time at which all hosts know the limit on.
  double Use() const {
    const core::TimePoint from = kStart + seconds(3);
    const core::TimePoint to = LimitEnd();
    const auto n = std::count_if(
        arrivals_.begin(), arrivals_.end(),
        [&](core::TimePoint it) { return it >= from && it < to; });
    return static_cast<double>(n) / Allowed(from, to);
  }

  // Returns the share of the requests that the endpoint gets after the limit
  // has ended.
  double ShareAfterLimit() const {
    const core::TimePoint from = LimitEnd() + seconds(2);
    const auto count = [from](const std::vector<core::TimePoint>& times) {
      return static_cast<double>(
          std::count_if(times.begin(), times.end(),
                        [from](core::TimePoint it) { return it >= from; }));
    };
    return count(arrivals_) / count(wanted_);
  }

  double BytesPerHostAndSecond() const {
    return static_cast<double>(bytes_) / static_cast<double>(hosts_.size()) /
           core::ToSeconds(kEnd - kStart);
  }

 private:
  static constexpr core::TimePoint kStart{seconds(1000)};
  static constexpr core::TimePoint kEventAt = kStart + seconds(12);
  static constexpr core::TimePoint kEnd = kStart + seconds(30);

  std::unique_ptr<PermitExchange> NewHost(size_t i) {
    return std::make_unique<PermitExchange>(
        ids_[i],
        [this, i](const std::vector<core::HostId>& to,
                  membership::ApplicationKind kind,
                  std::string_view body) { Send(i, to, kind, body); },
        /*first_sequence=*/0);
  }

  size_t Affected() const {
    return static_cast<size_t>(load_.share *
                               static_cast<double>(hosts_.size()));
  }

  // Tells a host which hosts it sees.
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

  void Later(core::Duration delay, std::function<void()> task) {
    tasks_.emplace_back(now_ + delay, std::move(task));
  }

  std::vector<std::function<void()>> TakeDue() {
    std::vector<std::function<void()>> due;
    auto waiting = std::exchange(tasks_, {});
    for (auto& [at, task] : waiting) {
      if (at <= now_) {
        due.push_back(std::move(task));
      } else {
        tasks_.emplace_back(at, std::move(task));
      }
    }
    return due;
  }

  void Send(size_t from,
            const std::vector<core::HostId>& to,
            membership::ApplicationKind kind,
            std::string_view body) {
    for (const core::HostId& it : to) {
      bytes_ += body.size();
      const size_t receiver = std::stoul(it.value().substr(1));
      if (random_.Unit() < load_.lost) {
        continue;
      }
      Later(kNetworkDelay,
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
    absl::Status status;
    switch (kind) {
      case membership::ApplicationKind::kEndpointLimits:
        status = hosts_[to]->OnReports(body, now_);
        break;
      case membership::ApplicationKind::kPermitQuestion:
        status = hosts_[to]->OnQuestion(ids_[from], body, now_);
        break;
      default:
        status = hosts_[to]->OnAnswer(ids_[from], body, now_);
    }
    REQUIRE(status.ok());
  }

  void Happen() {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      const bool is_affected = i < Affected();
      switch (load_.event) {
        case Event::kKill:
          is_up_[i] = is_up_[i] && !is_affected;
          break;
        case Event::kJoin:
          is_up_[i] = true;
          break;
        case Event::kSplit:
          groups_[i] = is_affected ? 1 : 0;
          break;
        case Event::kIsolate:
          groups_[i] = is_affected ? static_cast<int>(i) + 1 : 0;
          break;
        case Event::kRestartEndpoint:
          Later(core::FromSeconds(random_.Unit()),
                [this, i]() { hosts_[i]->Forget(kEndpoint); });
          break;
        default:
          break;
      }
    }
    for (size_t i = 0; i < hosts_.size(); ++i) {
      Later(core::FromSeconds(kMembershipSeconds * random_.Unit()),
            [this, i]() { SetHosts(i); });
    }
  }

  // Returns the limit that the endpoint names at `time`.
  std::optional<double> LimitAt(core::TimePoint time) const {
    const bool is_after = time >= kEventAt;
    if (is_after && load_.event == Event::kHalveLimit) {
      return kLimit / 2;
    }
    if (is_after && load_.event == Event::kEndLimit) {
      return std::nullopt;
    }
    return kLimit;
  }

  core::TimePoint LimitEnd() const {
    return load_.event == Event::kEndLimit ? kEventAt : kEnd;
  }

  // Returns what the limit allows from `from` to `to`. Without a limit, it
  // allows everything.
  double Allowed(core::TimePoint from, core::TimePoint to) const {
    double sum = 0;
    for (core::TimePoint it = from; it < to; it += milliseconds(100)) {
      sum += LimitAt(it).value_or(1e6) * 0.1;
    }
    return sum;
  }

  void Arrive() {
    const double rate = load_.demand * kLimit * core::ToSeconds(kStep);
    const auto n = static_cast<int>(rate) +
                   (random_.Unit() < rate - std::floor(rate) ? 1 : 0);
    for (int k = 0; k < n; ++k) {
      const size_t i = random_.Below(hosts_.size());
      wanted_.push_back(now_);
      if (!is_up_[i] || now_ < hosts_[i]->ExhaustedUntil(kEndpoint)) {
        continue;
      }
      if (!hosts_[i]->IsLimited(kEndpoint)) {
        SendToEndpoint(i);
        continue;
      }
      AskExchange(*hosts_[i], kEndpoint, now_, [this, i](bool is_granted) {
        if (is_granted) {
          SendToEndpoint(i);
        }
      });
    }
  }

  void SendToEndpoint(size_t i) {
    arrivals_.push_back(now_);
    if (told_at_[i] && now_ >= *told_at_[i] + kTimeToBind) {
      bound_arrivals_.push_back(now_);
    }
    const auto limit = LimitAt(now_);
    Later(kNetworkDelay, [this, i, limit]() {
      hosts_[i]->RecordLimit(kEndpoint, limit, now_);
      if (limit && !told_at_[i]) {
        told_at_[i] = now_;
      }
    });
  }

  static const core::RunnerId kEndpoint;

  const Load load_;
  core::RandomSource random_;
  core::TimePoint now_ = kStart;
  std::vector<core::HostId> ids_;
  std::vector<std::unique_ptr<PermitExchange>> hosts_;
  std::vector<bool> is_up_;
  // Hosts of different groups are cut off from each other.
  std::vector<int> groups_;
  // When each host first relayed an answer with the limit.
  std::vector<std::optional<core::TimePoint>> told_at_;
  std::vector<std::pair<core::TimePoint, std::function<void()>>> tasks_;
  // When callers sent requests, and when requests reached the endpoint.
  std::vector<core::TimePoint> wanted_;
  std::vector<core::TimePoint> arrivals_;
  // Requests of hosts that were bound by the limit.
  std::vector<core::TimePoint> bound_arrivals_;
  uint64_t bytes_ = 0;
};

const core::RunnerId Replay::kEndpoint("e1");

TEST_CASE("all hosts together keep the limit of an endpoint") {
  const Load loads[] = {
      {"twice the limit", 2},
      {"ten times the limit", 10},
      {"datagrams get lost", 3, Event::kNone, 0, 0.05},
      {"a third is killed", 3, Event::kKill, 0.33, 0, 0.5},
      {"a third joins", 3, Event::kJoin, 0.33, 0, 0.5},
      {"two halves cannot reach each other", 3, Event::kSplit, 0.5, 0, 0.5},
      {"a third is cut off, each alone", 3, Event::kIsolate, 0.33, 0, 0.5},
      {"the limit is halved", 3, Event::kHalveLimit},
      {"the limit ends", 3, Event::kEndLimit},
      {"the endpoint starts anew", 3, Event::kRestartEndpoint},
  };
  for (const Load& load : loads) {
    for (const size_t hosts : {8, 60, 300}) {
      for (const uint64_t seed : {1, 2, 3}) {
        INFO(load.what << ", " << hosts << " hosts, seed " << seed);
        Replay replay(load, hosts, seed);
        replay.Run();
        CHECK(replay.WorstExcess() <= 0);
        CHECK(replay.Use() >= load.min_use);
        CHECK(replay.BytesPerHostAndSecond() <= 2000);
        if (load.event == Event::kEndLimit) {
          CHECK(replay.ShareAfterLimit() >= 0.99);
        }
      }
    }
  }
}

}  // namespace
}  // namespace wasabi::forwarding
