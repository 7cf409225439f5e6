// Replays, in virtual time, fleets whose hosts share the places of brittle
// endpoints, while datagrams get lost and granting hosts are killed and
// restarted; and what a paused host does with an answer that comes late.

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
#include "Tests/LibForwarding/ask_exchange.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;
using membership::ApplicationKind;

constexpr uint32_t kSlots = 16;
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
// A host that has just started reads the topics before it accepts requests.
constexpr core::Duration kReadyTime = milliseconds(150);

// Number of crashes that are allowed within one brittle period.
size_t MaxFalls(size_t endpoints) {
  return 2 + endpoints / 10;
}

Endpoint BrittleEndpoint(size_t i = 1) {
  Endpoint endpoint;
  endpoint.id = core::RunnerId(fmt::format("e{}", i));
  endpoint.slots = kSlots;
  return endpoint;
}

constexpr core::Duration kStaysDown = core::Duration::zero();

struct Load {
  const char* what;
  // Requests, as a multiple of what the endpoint serves.
  double demand;
  double lost;
  bool kills_granter;
  // Share of the endpoints' capacity that is used at least.
  double min_use;
  size_t endpoints = 1;
  core::Duration service_time = milliseconds(100);
  // Granting hosts that are killed, one a second from kKillAt on, and the time
  // after which each runs again.
  size_t kills = 1;
  core::Duration down_time = kStaysDown;
  // The time after which a crashed endpoint is back; zero if it keeps running.
  core::Duration crash_time = core::Duration::zero();
};

class Replay {
 public:
  Replay(const Load& load, size_t n) : load_(load), random_(n) {
    for (size_t i = 0; i < load.endpoints; ++i) {
      endpoints_.push_back({.endpoint = BrittleEndpoint(i + 1)});
    }
    for (size_t i = 0; i < n; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
    }
    hosts_.resize(n);
    for (size_t i = 0; i < n; ++i) {
      StartHost(i);
      hosts_[i].is_ready = true;
    }
    running_ = ids_;
    SetHosts();
  }

  void Run() {
    double due = 0;
    const double per_step = load_.demand * kSlots * core::ToSeconds(kStep) *
                            static_cast<double>(load_.endpoints) /
                            core::ToSeconds(load_.service_time);
    for (; now_ < kEnd; now_ += kStep) {
      if (load_.kills_granter && now_ >= kKillAt && kills_ < load_.kills &&
          (now_ - kKillAt) % seconds(1) == core::Duration::zero()) {
        KillGranter(endpoints_[kills_++ % endpoints_.size()]);
      }
      for (const auto& it : TakeDue()) {
        it();
      }
      for (due += per_step; due >= 1; due -= 1) {
        Arrive(random_.Below(hosts_.size()));
      }
      if ((now_ - kStart) % kTick == core::Duration::zero()) {
        for (const Host& it : hosts_) {
          if (it.is_up) {
            it.places->Tick(now_);
          }
        }
      }
    }
  }

  size_t falls() const { return falls_; }
  double Use() const {
    return static_cast<double>(served_) * core::ToSeconds(load_.service_time) /
           (static_cast<double>(kSlots * load_.endpoints) *
            core::ToSeconds(kEnd - kBoundFrom));
  }

 private:
  struct Host {
    std::unique_ptr<PlaceExchange> places;
    bool is_up = false;
    bool is_ready = false;
    // Number of processes of this host so far.
    int process = 0;
    // Requests in flight at each endpoint, by the hash of its id.
    std::map<uint64_t, uint32_t> in_flight;
  };
  struct EndpointState {
    Endpoint endpoint;
    // Requests that run here, by host.
    std::map<size_t, size_t> running = {};
    size_t used = 0;
    // Number of crashes so far, and when the endpoint is up again.
    int crashes = 0;
    core::TimePoint down_until{};
    std::vector<core::TimePoint> turned_away_at = {};
  };

  void StartHost(size_t i) {
    Host& host = hosts_[i];
    host.is_up = true;
    ++host.process;
    host.in_flight.clear();
    host.places = std::make_unique<PlaceExchange>(
        ids_[i],
        [this, i](uint64_t endpoint) { return hosts_[i].in_flight[endpoint]; },
        [this, i](const std::vector<core::HostId>& to, ApplicationKind kind,
                  std::string_view body) { Send(i, to, kind, body); },
        /*first_sequence=*/0);
  }

  void SetHosts() {
    for (size_t i = 0; i < ids_.size(); ++i) {
      SetHostsOf(i);
    }
  }

  void SetHostsOf(size_t i) {
    ReportPeers peers;
    for (const core::HostId& it : running_) {
      if (it != ids_[i]) {
        peers.fleet.push_back(it);
      }
    }
    peers.aggregators = {ids_[0], ids_[1], ids_[2]};
    peers.data_centre = peers.fleet;
    hosts_[i].places->SetHosts(running_, ids_.size(), now_);
    hosts_[i].places->SetPeers(peers);
  }

  void KillGranter(const EndpointState& state) {
    std::vector<core::RendezvousCandidate> candidates;
    for (const core::HostId& it : ids_) {
      candidates.push_back({.hash = it.Hash(), .weight = 1.0});
    }
    const size_t granter =
        core::RendezvousWinner(state.endpoint.id.Hash(), candidates);
    Host& host = hosts_[granter];
    host.is_up = false;
    host.is_ready = false;
    for (EndpointState& it : endpoints_) {
      it.used -= it.running[granter];
      it.running[granter] = 0;
    }
    if (load_.down_time > kStaysDown) {
      Later(load_.down_time, [this, granter]() { Restart(granter); });
    }
    // Membership takes two seconds to notice.
    Later(seconds(2), [this, granter, process = host.process]() {
      if (hosts_[granter].process == process) {
        std::erase(running_, ids_[granter]);
        SetHosts();
      }
    });
  }

  void Restart(size_t i) {
    StartHost(i);
    if (std::find(running_.begin(), running_.end(), ids_[i]) ==
        running_.end()) {
      running_.push_back(ids_[i]);
      SetHosts();
    } else {
      SetHostsOf(i);
    }
    Later(kReadyTime, [this, i]() { hosts_[i].is_ready = true; });
  }

  void Arrive(size_t i) {
    Host& host = hosts_[i];
    EndpointState& state =
        endpoints_[endpoints_.size() > 1 ? random_.Below(endpoints_.size())
                                         : 0];
    if (!host.is_ready || now_ < host.places->FullUntil(state.endpoint.id) ||
        now_ < state.down_until) {
      return;
    }
    AskExchange(*host.places, state.endpoint, now_,
                [this, i, &state, process = host.process](bool is_granted) {
                  if (is_granted && IsSame(i, process)) {
                    Start(i, state);
                  }
                });
  }

  bool IsSame(size_t i, int process) const {
    return hosts_[i].is_up && hosts_[i].process == process;
  }

  void Start(size_t i, EndpointState& state) {
    ++hosts_[i].in_flight[state.endpoint.id.Hash()];
    Later(kNetworkDelay, [this, i, &state, process = hosts_[i].process]() {
      if (!IsSame(i, process)) {
        return;
      }
      const auto finish = [this, i, &state, process]() {
        Finish(i, process, state);
      };
      if (now_ < state.down_until) {
        Later(kNetworkDelay, finish);
        return;
      }
      if (state.used >= kSlots) {
        TurnAway(state);
        Later(kNetworkDelay, finish);
        return;
      }
      ++state.used;
      ++state.running[i];
      Later(load_.service_time,
            [this, i, &state, process, finish, crashes = state.crashes]() {
              if (!IsSame(i, process)) {
                return;
              }
              if (state.crashes == crashes) {
                --state.used;
                --state.running[i];
                served_ += now_ >= kBoundFrom ? 1 : 0;
              }
              Later(kNetworkDelay, finish);
            });
    });
  }

  void Finish(size_t i, int process, const EndpointState& state) {
    if (!IsSame(i, process)) {
      return;
    }
    --hosts_[i].in_flight[state.endpoint.id.Hash()];
    hosts_[i].places->RecordBrittle(state.endpoint, true, now_);
    hosts_[i].places->OnFinished(state.endpoint.id, now_);
  }

  void TurnAway(EndpointState& state) {
    if (now_ < kBoundFrom) {
      return;
    }
    state.turned_away_at.push_back(now_);
    std::erase_if(state.turned_away_at, [this](core::TimePoint it) {
      return now_ - it > seconds(1);
    });
    if (state.turned_away_at.size() > kBrittleLimit) {
      state.turned_away_at.clear();
      ++falls_;
      if (load_.crash_time > core::Duration::zero()) {
        state.used = 0;
        state.running.clear();
        state.down_until = now_ + load_.crash_time;
        ++state.crashes;
      }
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
              if (hosts_[receiver].is_up) {
                Receive(receiver, ids_[from], kind, text);
              }
            });
    }
  }

  void Receive(size_t i,
               const core::HostId& from,
               ApplicationKind kind,
               const std::string& text) {
    PlaceExchange& host = *hosts_[i].places;
    const absl::Status status = kind == ApplicationKind::kPlaceQuestion
                                    ? host.OnQuestion(from, text, now_)
                                : kind == ApplicationKind::kPlaceAnswer
                                    ? host.OnAnswer(from, text, now_)
                                : kind == ApplicationKind::kPlaceReport
                                    ? host.OnReport(from, text, now_)
                                : kind == ApplicationKind::kBrittleQuestion
                                    ? host.OnNewsQuestion(from, now_)
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
  core::TimePoint now_ = kStart;
  std::vector<EndpointState> endpoints_;
  std::vector<core::HostId> ids_;
  std::vector<core::HostId> running_;
  std::vector<Host> hosts_;
  std::multimap<core::TimePoint, std::function<void()>> tasks_;
  size_t kills_ = 0;
  size_t served_ = 0;
  size_t falls_ = 0;
};

TEST_CASE("hosts share the places of a brittle endpoint") {
  const Load loads[] = {
      {"below capacity", 0.8, 0, false, 0.7},
      {"twice the capacity", 2, 0, false, 0.7},
      {"five times the capacity", 5, 0, false, 0.7},
      {"a tenth of the datagrams lost", 2, 0.1, false, 0.5},
      {"the granting host is killed", 2, 0, true, 0.5},
      {"granting hosts are killed", 2, 0, true, 0.5, 20, milliseconds(400), 5,
       kStaysDown, seconds(3)},
      {"granting hosts are restarted at once", 2, 0, true, 0.5, 20,
       milliseconds(400), 5, milliseconds(100), seconds(3)},
      {"granting hosts are restarted", 2, 0, true, 0.5, 20, milliseconds(400),
       5, milliseconds(700), seconds(3)},
      {"granting hosts of long requests are restarted", 1.2, 0, true, 0.5, 20,
       milliseconds(1500), 5, milliseconds(700), seconds(3)},
      {"granting hosts return after they were missed", 2, 0, true, 0.5, 20,
       milliseconds(400), 5, milliseconds(3000), seconds(3)},
      {"granting hosts are restarted and datagrams lost", 2, 0.1, true, 0.4, 20,
       milliseconds(400), 5, milliseconds(700), seconds(3)},
  };
  for (const Load& load : loads) {
    for (const size_t n : {8, 60, 300}) {
      INFO(load.what << ", " << n << " hosts");
      Replay replay(load, n);
      replay.Run();
      CHECK(replay.falls() <= MaxFalls(load.endpoints));
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
        },
        /*first_sequence=*/0);
    // The host has run for longer than reports take.
    places.SetHosts({self, other}, 2, kStart - seconds(1));
    places.RecordBrittle(endpoint, true, kStart);
    for (uint32_t k = 0; k < kSlots; ++k) {
      AskExchange(places, endpoint, kStart, [&in_flight](bool is_granted) {
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

// Guards against a denial that leaves the endpoint open, so that the same
// request asks for it again at once, and again, until the stack is full.
TEST_CASE("an endpoint without an answering granting host counts as full") {
  const core::HostId self("h0");
  const std::vector<core::HostId> hosts = {self, core::HostId("h1")};
  int silent = 0;
  for (int i = 0; i < 8; ++i) {
    Endpoint endpoint = BrittleEndpoint();
    endpoint.id = core::RunnerId(fmt::format("e{}", i));
    size_t questions = 0;
    uint32_t in_flight = 1;
    PlaceExchange places(
        self, [&in_flight](uint64_t /*endpoint*/) { return in_flight; },
        [&questions](const std::vector<core::HostId>& /*to*/,
                     ApplicationKind kind, std::string_view /*body*/) {
          questions += kind == ApplicationKind::kPlaceQuestion ? 1 : 0;
        },
        /*first_sequence=*/0);
    places.SetHosts(hosts, hosts.size(), kStart - seconds(1));
    places.RecordBrittle(endpoint, true, kStart);
    // No question is answered. Each is denied in the end, and the last denial
    // holds for the endpoint.
    core::TimePoint now = kStart;
    for (size_t asked = 1; asked <= 5; ++asked) {
      std::vector<bool> answers;
      AskExchange(places, endpoint, now,
                  [&answers](bool it) { answers.push_back(it); });
      now += kTick;
      places.Tick(now);
      REQUIRE(answers.size() == 1);
    }
    if (questions == 0) {
      // This host grants the places itself.
      continue;
    }
    ++silent;
    CHECK(questions == 5);
    CHECK(places.FullUntil(endpoint.id) > now);
    // What is asked now is answered at once, and no callback runs inside.
    bool was_called = false;
    CHECK(places.Acquire(endpoint, now, [&was_called](bool /*is_granted*/) {
      was_called = true;
    }) == false);
    CHECK_FALSE(was_called);
    // This host's own place is free again, so the endpoint is not full.
    in_flight = 0;
    places.OnFinished(endpoint.id, now);
    CHECK(places.FullUntil(endpoint.id) <= now);
    CHECK(places.Acquire(endpoint, now, [](bool /*is_granted*/) {}) == true);
  }
  CHECK(silent > 0);
}

// Guards against places that are granted a second time after the news of a
// restart, beside requests that reached the new start before.
TEST_CASE("places stay taken when an endpoint of a brittle pool restarts") {
  const core::HostId self("h0");
  const std::vector<core::HostId> others = {core::HostId("h1"),
                                            core::HostId("h2")};
  int granted_here = 0;
  for (int i = 0; i < 8; ++i) {
    Endpoint endpoint = BrittleEndpoint();
    endpoint.id = core::RunnerId(fmt::format("e{}", i));
    PlaceAnswer answer;
    PlaceExchange places(
        self, [](uint64_t /*endpoint*/) { return 0U; },
        [&answer](const std::vector<core::HostId>& /*to*/, ApplicationKind kind,
                  std::string_view body) {
          if (kind == ApplicationKind::kPlaceAnswer) {
            answer = *core::Decode<PlaceAnswer>(body);
          }
        },
        /*first_sequence=*/0);
    places.SetHosts({self, others[0], others[1]}, 3, kStart - seconds(1));
    places.RecordBrittle(endpoint, true, kStart);
    const auto ask = [&](const core::HostId& host, uint32_t in_flight) {
      const PlaceReport question{.sequence = in_flight + 1,
                                 .in_flight = in_flight,
                                 .slots = {.endpoint = endpoint.id.Hash(),
                                           .per_second = kSlots,
                                           .age_milliseconds = 0}};
      REQUIRE(places.OnQuestion(host, core::Encode(question), kStart).ok());
      return answer.is_granted;
    };
    for (uint32_t k = 0; k < kSlots; ++k) {
      granted_here += ask(others[0], k) ? 1 : 0;
    }
    places.Forget(endpoint);
    places.Tick(kStart);
    CHECK_FALSE(ask(others[1], 0));
  }
  CHECK(granted_here > 0);
}

// A process that is paused between its question and the answer must not act on
// the answer when it goes on.
TEST_CASE("a permission that has run out is not used") {
  const core::HostId self("h0");
  const std::vector<core::HostId> hosts = {self, core::HostId("h1"),
                                           core::HostId("h2")};
  const auto asked_elsewhere = [&](auto& exchange, const auto& endpoint,
                                   std::string* question,
                                   std::vector<bool>* results) {
    AskExchange(exchange, endpoint, kStart,
                [results](bool is_granted) { results->push_back(is_granted); });
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
    PermitExchange permits(self, send, 0);
    permits.SetHosts(hosts, hosts.size());
    permits.RecordLimit(endpoint.id, 5, kStart);
    if (asked_elsewhere(permits, endpoint.id, &question, &results)) {
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
        self, [](uint64_t /*endpoint*/) { return 0U; }, send,
        /*first_sequence=*/0);
    places.SetHosts(hosts, hosts.size(), kStart);
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
