// Replays, in virtual time, fleets whose hosts share the places of a brittle
// endpoint, while datagrams get lost and the granting host is killed; and what
// a paused host does with an answer that comes late.

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/permit_exchange.h"
#include "LibForwarding/place_exchange.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;
using membership::ApplicationKind;

constexpr uint32_t kSlots = 16;
constexpr core::Duration kServiceTime = milliseconds(100);
constexpr core::Duration kNetworkDelay = milliseconds(3);
constexpr core::Duration kStep = milliseconds(1);
constexpr core::Duration kTick = milliseconds(50);
constexpr core::TimePoint kStart{seconds(1000)};
constexpr core::TimePoint kEnd = kStart + seconds(12);
// Hosts know each other's news by then.
constexpr core::TimePoint kBoundFrom = kStart + seconds(3);
constexpr core::TimePoint kKillAt = kStart + seconds(6);
// Requests turned away in a second with which the endpoint does not crash.
constexpr size_t kBrittleLimit = 4;
constexpr size_t kMaxFalls = 2;

Endpoint BrittleEndpoint() {
  Endpoint endpoint;
  endpoint.id = core::RunnerId("e1");
  endpoint.slots = kSlots;
  return endpoint;
}

struct Load {
  const char* what;
  // Requests, as a multiple of what the endpoint serves.
  double demand;
  double lost;
  bool kills_granter;
  // Share of the endpoint's capacity that is used at least.
  double min_use;
};

class Replay {
 public:
  Replay(const Load& load, size_t n) : load_(load), random_(n) {
    for (size_t i = 0; i < n; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
    }
    in_flight_.resize(n);
    is_up_.assign(n, true);
    for (size_t i = 0; i < n; ++i) {
      hosts_.push_back(std::make_unique<PlaceExchange>(
          ids_[i], [this, i](uint64_t /*endpoint*/) { return in_flight_[i]; },
          [this, i](const std::vector<core::HostId>& to, ApplicationKind kind,
                    std::string_view body) { Send(i, to, kind, body); }));
    }
    SetHosts();
  }

  void Run() {
    double due = 0;
    const double per_step = load_.demand * kSlots * core::ToSeconds(kStep) /
                            core::ToSeconds(kServiceTime);
    for (; now_ < kEnd; now_ += kStep) {
      if (load_.kills_granter && now_ == kKillAt) {
        KillGranter();
      }
      for (const auto& it : TakeDue()) {
        it();
      }
      for (due += per_step; due >= 1; due -= 1) {
        Arrive(random_.Below(hosts_.size()));
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

  size_t falls() const { return falls_; }
  double Use() const {
    return static_cast<double>(served_) * core::ToSeconds(kServiceTime) /
           (kSlots * core::ToSeconds(kEnd - kBoundFrom));
  }

 private:
  void SetHosts() {
    std::vector<core::HostId> running;
    for (size_t i = 0; i < ids_.size(); ++i) {
      if (is_up_[i]) {
        running.push_back(ids_[i]);
      }
    }
    for (size_t i = 0; i < ids_.size(); ++i) {
      ReportPeers peers;
      for (const core::HostId& it : running) {
        if (it != ids_[i]) {
          peers.fleet.push_back(it);
        }
      }
      peers.aggregators = {ids_[0], ids_[1], ids_[2]};
      peers.data_centre = peers.fleet;
      hosts_[i]->SetHosts(running, ids_.size());
      hosts_[i]->SetPeers(peers);
    }
  }

  void KillGranter() {
    std::vector<core::RendezvousCandidate> candidates;
    for (const core::HostId& it : ids_) {
      candidates.push_back({.hash = it.Hash(), .weight = 1.0});
    }
    const size_t granter =
        core::RendezvousWinner(endpoint_.id.Hash(), candidates);
    is_up_[granter] = false;
    at_endpoint_ -= in_flight_[granter];
    in_flight_[granter] = 0;
    // Membership takes two seconds to notice.
    Later(seconds(2), [this]() { SetHosts(); });
  }

  void Arrive(size_t i) {
    if (!is_up_[i] || now_ < hosts_[i]->FullUntil(endpoint_.id)) {
      return;
    }
    hosts_[i]->Acquire(endpoint_.id, now_, [this, i](bool is_granted) {
      if (is_granted && is_up_[i]) {
        Start(i);
      }
    });
  }

  void Start(size_t i) {
    ++in_flight_[i];
    Later(kNetworkDelay, [this, i]() {
      if (!is_up_[i]) {
        return;
      }
      if (at_endpoint_ >= kSlots) {
        TurnAway();
        Later(kNetworkDelay, [this, i]() { Finish(i); });
        return;
      }
      ++at_endpoint_;
      Later(kServiceTime, [this, i]() {
        if (!is_up_[i]) {
          return;
        }
        --at_endpoint_;
        served_ += now_ >= kBoundFrom ? 1 : 0;
        Later(kNetworkDelay, [this, i]() { Finish(i); });
      });
    });
  }

  void Finish(size_t i) {
    if (!is_up_[i]) {
      return;
    }
    --in_flight_[i];
    hosts_[i]->RecordBrittle(endpoint_, true, now_);
    hosts_[i]->OnFinished(endpoint_.id, now_);
  }

  void TurnAway() {
    if (now_ < kBoundFrom) {
      return;
    }
    turned_away_at_.push_back(now_);
    std::erase_if(turned_away_at_, [this](core::TimePoint it) {
      return now_ - it > seconds(1);
    });
    if (turned_away_at_.size() > kBrittleLimit) {
      turned_away_at_.clear();
      ++falls_;
    }
  }

  void Send(size_t from,
            const std::vector<core::HostId>& to,
            ApplicationKind kind,
            std::string_view body) {
    for (const core::HostId& it : to) {
      if (random_.Unit() < load_.lost) {
        continue;
      }
      const auto receiver = static_cast<size_t>(
          std::find(ids_.begin(), ids_.end(), it) - ids_.begin());
      Later(kNetworkDelay,
            [this, from, receiver, kind, text = std::string(body)]() {
              if (is_up_[receiver]) {
                Receive(receiver, ids_[from], kind, text);
              }
            });
    }
  }

  void Receive(size_t i,
               const core::HostId& from,
               ApplicationKind kind,
               const std::string& text) {
    PlaceExchange& host = *hosts_[i];
    const absl::Status status = kind == ApplicationKind::kPlaceQuestion
                                    ? host.OnQuestion(from, text, now_)
                                : kind == ApplicationKind::kPlaceAnswer
                                    ? host.OnAnswer(from, text, now_)
                                : kind == ApplicationKind::kPlaceReport
                                    ? host.OnReport(from, text, now_)
                                    : host.OnNews(text, now_);
    CHECK(status.ok());
  }

  void Later(core::Duration delay, std::function<void()> task) {
    tasks_.emplace(now_ + delay, std::move(task));
  }

  std::vector<std::function<void()>> TakeDue() {
    std::vector<std::function<void()>> due;
    while (!tasks_.empty() && tasks_.begin()->first <= now_) {
      due.push_back(std::move(tasks_.begin()->second));
      tasks_.erase(tasks_.begin());
    }
    return due;
  }

  const Load load_;
  core::RandomSource random_;
  const Endpoint endpoint_ = BrittleEndpoint();
  core::TimePoint now_ = kStart;
  std::vector<core::HostId> ids_;
  std::vector<std::unique_ptr<PlaceExchange>> hosts_;
  std::vector<uint32_t> in_flight_;
  std::vector<bool> is_up_;
  std::multimap<core::TimePoint, std::function<void()>> tasks_;
  size_t at_endpoint_ = 0;
  size_t served_ = 0;
  size_t falls_ = 0;
  std::vector<core::TimePoint> turned_away_at_;
};

TEST_CASE("hosts share the places of a brittle endpoint") {
  const Load loads[] = {
      {"below capacity", 0.8, 0, false, 0.7},
      {"twice the capacity", 2, 0, false, 0.7},
      {"five times the capacity", 5, 0, false, 0.7},
      {"a tenth of the datagrams lost", 2, 0.1, false, 0.5},
      {"the granting host is killed", 2, 0, true, 0.5},
  };
  for (const Load& load : loads) {
    for (const size_t n : {8, 60, 300}) {
      INFO(load.what << ", " << n << " hosts");
      Replay replay(load, n);
      replay.Run();
      CHECK(replay.falls() <= kMaxFalls);
      CHECK(replay.Use() >= load.min_use);
    }
  }
}

TEST_CASE("the places of long requests of the granting host stay taken") {
  const core::HostId self("h0");
  const core::HostId other("h1");
  int granted_here = 0;
  for (int i = 0; i < 8; ++i) {
    Endpoint endpoint = BrittleEndpoint();
    endpoint.id = core::RunnerId(fmt::format("e{}", i));
    std::optional<PlaceAnswer> answer;
    uint32_t in_flight = 0;
    PlaceExchange places(
        self, [&in_flight](uint64_t /*endpoint*/) { return in_flight; },
        [&answer](const std::vector<core::HostId>& /*to*/, ApplicationKind kind,
                  std::string_view body) {
          if (kind == ApplicationKind::kPlaceAnswer) {
            answer = *core::Decode<PlaceAnswer>(body);
          }
        });
    places.SetHosts({self, other}, 2);
    places.RecordBrittle(endpoint, true, kStart);
    for (uint32_t k = 0; k < kSlots; ++k) {
      places.Acquire(endpoint.id, kStart, [&in_flight](bool is_granted) {
        in_flight += is_granted ? 1 : 0;
      });
    }
    core::TimePoint now = kStart;
    for (; now < kStart + seconds(10); now += kTick) {
      places.Tick(now);
    }
    const PlaceReport question{.sequence = 1,
                               .in_flight = 0,
                               .slots = {.endpoint = endpoint.id.Hash(),
                                         .per_second = kSlots,
                                         .age_milliseconds = 0}};
    REQUIRE(places.OnQuestion(other, core::Encode(question), now).ok());
    REQUIRE(answer.has_value());
    if (!answer->is_misdirected) {
      ++granted_here;
      CHECK(in_flight == kSlots);
      CHECK_FALSE(answer->is_granted);
    }
  }
  CHECK(granted_here > 0);
}

// A process that is paused between its question and the answer must not act on
// the answer when it goes on.
TEST_CASE("a permission that has run out is not used") {
  const core::HostId self("h0");
  const std::vector<core::HostId> hosts = {self, core::HostId("h1"),
                                           core::HostId("h2")};
  const auto asked_elsewhere = [&](auto& exchange, const Endpoint& endpoint,
                                   std::string* question,
                                   std::vector<bool>* results) {
    exchange.SetHosts(hosts, hosts.size());
    exchange.Acquire(endpoint.id, kStart, [results](bool is_granted) {
      results->push_back(is_granted);
    });
    return !question->empty();
  };
  // Endpoints whose permits this host itself grants are left out.
  for (int i = 0; i < 8; ++i) {
    Endpoint endpoint = BrittleEndpoint();
    endpoint.id = core::RunnerId(fmt::format("e{}", i));
    core::HostId granter;
    std::string question;
    const auto send = [&](const std::vector<core::HostId>& to,
                          ApplicationKind kind, std::string_view body) {
      if (kind == ApplicationKind::kPermitQuestion ||
          kind == ApplicationKind::kPlaceQuestion) {
        granter = to.front();
        question = body;
      }
    };
    std::vector<bool> results;
    PermitExchange permits(self, send);
    permits.RecordLimit(endpoint.id, 5, kStart);
    if (asked_elsewhere(permits, endpoint, &question, &results)) {
      const auto asked = core::Decode<PermitQuestion>(question);
      const PermitAnswer answer{.sequence = asked->sequence,
                                .is_granted = true,
                                .limit = asked->limit};
      CHECK(permits.OnAnswer(granter, core::Encode(answer), kStart + seconds(5))
                .ok());
      CHECK(results.empty());
    }
    question.clear();
    results.clear();
    PlaceExchange places(
        self, [](uint64_t /*endpoint*/) { return 0U; }, send);
    places.RecordBrittle(endpoint, true, kStart);
    if (asked_elsewhere(places, endpoint, &question, &results)) {
      const auto asked = core::Decode<PlaceReport>(question);
      const PlaceAnswer answer{.sequence = asked->sequence,
                               .is_granted = true,
                               .slots = asked->slots};
      CHECK(places.OnAnswer(granter, core::Encode(answer), kStart + seconds(5))
                .ok());
      CHECK(results.empty());
    }
  }
}

}  // namespace
}  // namespace wasabi::forwarding
