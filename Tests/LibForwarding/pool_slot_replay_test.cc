// Replays, in virtual time, 90 hosts that send short calls to a small pool.
// Guards against calls that queue at one endpoint while others have free slots,
// as they do if each host chooses by its own few requests; and against a
// granting host that fails and takes the calls of the fleet with it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/endpoint_selector.h"
#include "LibForwarding/pool_slot_exchange.h"
#include "LibForwarding/service_times.h"
#include "Tests/LibForwarding/ask_exchange.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;
using membership::ApplicationKind;

const core::PoolId kPool("p");
constexpr uint32_t kSlots = 6;
// An endpoint turns away what exceeds this.
constexpr size_t kWaitingRoom = 24;
constexpr double kCallsPerSecond = 252;
constexpr double kServiceSeconds = 0.060;
// A call takes up to this share more or less.
constexpr double kSpread = 0.5;
constexpr double kLongShare = 0.01;
constexpr double kLongFactor = 5;
constexpr core::Duration kObjective = milliseconds(300);
constexpr core::Duration kDeadline = seconds(3);
constexpr core::Duration kStep = milliseconds(1);
// Sums of loads are made at half of this interval, and on their way for the
// other half.
constexpr core::Duration kReportAge = milliseconds(400);
constexpr core::Duration kTick = milliseconds(50);
constexpr core::TimePoint kStart{seconds(1000)};
constexpr core::TimePoint kEnd = kStart + seconds(30);
constexpr core::TimePoint kCountFrom = kStart + seconds(5);
constexpr core::TimePoint kKillAt = kStart + seconds(15);
constexpr double kMaxLateShare = 0.02;
// UDP and IP headers.
constexpr size_t kDatagramOverhead = 28;

// Endpoints are in pairs in the data centres of every third host.
struct Case {
  const char* what;
  size_t hosts = 90;
  size_t endpoints = 6;
  bool uses_exchange = true;
  // Whether hosts take calls to last longer than reports are old. They do after
  // calls have queued for long, since the time in the queue counts.
  bool follows_reports = false;
  // Calls that arrive at once at the start, as after all hosts restarted.
  size_t burst = 0;
  double lost = 0;
  bool kills_granter = false;
};

class Replay {
 public:
  explicit Replay(const Case& parameters, uint64_t seed)
      : case_(parameters), random_(seed) {
    for (size_t i = 0; i < case_.endpoints; ++i) {
      endpoints_.push_back(
          {.hash = core::RunnerId(fmt::format("e{}", i)).Hash()});
    }
    for (size_t i = 0; i < case_.hosts; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
    }
    is_up_.assign(case_.hosts, true);
    sent_bytes_.assign(case_.hosts, 0);
    own_.resize(case_.hosts);
    times_.resize(case_.hosts);
    for (size_t i = 0; i < case_.hosts; ++i) {
      hosts_.push_back(std::make_unique<PoolSlotExchange>(
          ids_[i], [this, i](uint64_t endpoint) { return own_[i][endpoint]; },
          [this, i](const std::vector<core::HostId>& to, ApplicationKind kind,
                    std::string_view body) { Send(i, to, kind, body); },
          /*first_sequence=*/0));
    }
    SetHosts();
  }

  void Run() {
    core::TimePoint next_call_at = kStart;
    for (size_t i = 0; i < case_.burst; ++i) {
      Arrive(now_, random_.Below(hosts_.size()), {});
    }
    for (; now_ < kEnd; now_ += kStep) {
      if (case_.kills_granter && now_ == kKillAt) {
        KillGranter();
      }
      while (!tasks_.empty() && tasks_.begin()->first <= now_) {
        const auto task = std::move(tasks_.begin()->second);
        tasks_.erase(tasks_.begin());
        task();
      }
      if ((now_ - kStart) % (kReportAge / 2) == core::Duration::zero()) {
        SumLoads();
      }
      // Calls come at random.
      for (; next_call_at <= now_; next_call_at += TimeBetweenCalls()) {
        Arrive(now_, random_.Below(hosts_.size()), {});
      }
      for (size_t i = 0; i < hosts_.size(); ++i) {
        // The hosts' ticks are spread.
        const bool is_tick =
            (now_ - kStart + milliseconds(static_cast<int64_t>(i))) % kTick ==
            core::Duration::zero();
        if (is_up_[i] && is_tick) {
          hosts_[i]->Tick(now_);
        }
      }
    }
  }

  double LateShare() const {
    return static_cast<double>(late_) / static_cast<double>(calls_);
  }
  size_t refused() const { return refused_; }
  double MeanBytesPerSecond() const {
    size_t sum = 0;
    for (const size_t it : sent_bytes_) {
      sum += it;
    }
    return static_cast<double>(sum) / static_cast<double>(hosts_.size()) /
           core::ToSeconds(kEnd - kStart);
  }
  double MaxBytesPerSecond() const {
    return static_cast<double>(
               *std::max_element(sent_bytes_.begin(), sent_bytes_.end())) /
           core::ToSeconds(kEnd - kStart);
  }

 private:
  struct Server {
    uint64_t hash = 0;
    size_t running = 0;
    std::deque<std::function<void()>> waiting = {};
  };

  core::Duration TimeBetweenCalls() {
    return core::FromSeconds(-std::log(1 - random_.Unit()) / kCallsPerSecond);
  }

  core::Duration NetworkDelay() {
    return core::FromSeconds(0.0005 + 0.00125 * random_.Unit());
  }

  void Later(core::Duration delay, std::function<void()> task) {
    tasks_.emplace(now_ + delay, std::move(task));
  }

  void SetHosts() {
    std::vector<core::HostId> running;
    for (size_t i = 0; i < ids_.size(); ++i) {
      if (is_up_[i]) {
        running.push_back(ids_[i]);
      }
    }
    for (const auto& it : hosts_) {
      it->SetHosts(running);
    }
  }

  void KillGranter() {
    std::vector<core::RendezvousCandidate> candidates;
    for (const core::HostId& it : ids_) {
      candidates.push_back({.hash = it.Hash(), .weight = 1.0});
    }
    is_up_[core::RendezvousWinner(kPool.Hash(), candidates)] = false;
    // Membership takes two seconds to notice.
    Later(seconds(2), [this]() { SetHosts(); });
  }

  void Arrive(core::TimePoint arrived_at,
              size_t i,
              const std::vector<size_t>& tried) {
    if (!is_up_[i]) {
      return;
    }
    PoolSlotRequest request{.pool = kPool,
                            .service_time = times_[i].MeanSoFar(kPool, now_),
                            .max_wait = kObjective / 2};
    for (size_t k = 0; k < endpoints_.size(); ++k) {
      if (std::find(tried.begin(), tried.end(), k) == tried.end()) {
        request.candidates.push_back({.endpoint = endpoints_[k].hash,
                                      .slots = kSlots,
                                      .is_near = k / 2 == i % 3});
      }
    }
    if (request.candidates.empty()) {
      Count(arrived_at, true);
      return;
    }
    if (!case_.uses_exchange) {
      StartAt(ChooseAlone(i, request), i, arrived_at, tried);
      return;
    }
    AskExchange(*hosts_[i], request, now_,
                [=, this](const PoolSlotResult& result) {
                  if (!is_up_[i]) {
                    return;
                  }
                  switch (result.outcome) {
                    case PoolSlotOutcome::kGranted:
                      StartAt(result.endpoint, i, arrived_at, tried);
                      return;
                    case PoolSlotOutcome::kFull:
                      ++refused_;
                      ComeBack(result.wait, arrived_at, i);
                      return;
                    case PoolSlotOutcome::kUnknown:
                      StartAt(ChooseAlone(i, request), i, arrived_at, tried);
                      return;
                  }
                });
  }

  // A refused caller waits as long as it was told, if that is within its
  // deadline.
  void ComeBack(core::Duration wait, core::TimePoint arrived_at, size_t i) {
    const core::Duration pause =
        std::max(wait, core::FromSeconds(0.1 + 0.4 * random_.Unit()));
    if (now_ + pause - arrived_at > kDeadline) {
      Count(arrived_at, true);
      return;
    }
    Later(pause, [=, this]() { Arrive(arrived_at, i, {}); });
  }

  // The choice of a host without grants (EndpointChooser): by the load reports
  // while requests seem to last longer than reports are old, else by its own
  // requests.
  uint64_t ChooseAlone(size_t i, const PoolSlotRequest& request) {
    const bool uses_reports =
        case_.follows_reports ||
        times_[i].AreReportsUseful(kPool, kReportAge, now_);
    std::vector<EndpointCandidate> candidates;
    for (const PoolSlotRequest::Candidate& it : request.candidates) {
      const uint32_t own = own_[i][it.endpoint];
      candidates.push_back(
          {.hash = it.endpoint,
           .load = uses_reports ? reported_[it.endpoint] + own : own,
           // A caller does not wait on its host.
           .slots = kSlots * 1000,
           .is_same_data_centre = it.is_near});
    }
    const Selection selection =
        SelectEndpoint(candidates, std::nullopt, random_.Next(), {});
    return request.candidates[selection.index].endpoint;
  }

  // Sums the requests of all hosts, which hosts hear of as old as reports get.
  void SumLoads() {
    std::map<uint64_t, uint32_t> sums;
    for (const auto& host : own_) {
      for (const auto& [endpoint, n] : host) {
        sums[endpoint] += n;
      }
    }
    Later(kReportAge / 2, [this, sums]() { reported_ = sums; });
  }

  void StartAt(uint64_t endpoint,
               size_t i,
               core::TimePoint arrived_at,
               std::vector<size_t> tried) {
    const auto k = static_cast<size_t>(
        std::find_if(endpoints_.begin(), endpoints_.end(),
                     [&](const Server& it) { return it.hash == endpoint; }) -
        endpoints_.begin());
    tried.push_back(k);
    ++own_[i][endpoint];
    times_[i].Start(kPool, now_);
    Later(NetworkDelay(), [=, this]() {
      Server& server = endpoints_[k];
      if (server.running < kSlots) {
        Serve(k, i, arrived_at);
      } else if (server.waiting.size() < kWaitingRoom) {
        server.waiting.push_back([=, this]() { Serve(k, i, arrived_at); });
      } else {
        Later(NetworkDelay(), [=, this]() {
          Finish(k, i);
          Arrive(arrived_at, i, tried);
        });
      }
    });
  }

  void Serve(size_t k, size_t i, core::TimePoint arrived_at) {
    Server& server = endpoints_[k];
    ++server.running;
    double time = kServiceSeconds * (1 + kSpread * (2 * random_.Unit() - 1));
    time *= random_.Unit() < kLongShare ? kLongFactor : 1;
    Later(core::FromSeconds(time), [=, this]() {
      Server& it = endpoints_[k];
      --it.running;
      if (!it.waiting.empty()) {
        const auto next = std::move(it.waiting.front());
        it.waiting.pop_front();
        next();
      }
      Later(NetworkDelay(), [=, this]() {
        times_[i].RecordServed(kPool, now_);
        Finish(k, i);
        Count(arrived_at, now_ - arrived_at > kObjective);
      });
    });
  }

  void Finish(size_t k, size_t i) {
    --own_[i][endpoints_[k].hash];
    times_[i].Finish(kPool, now_);
    if (case_.uses_exchange && is_up_[i]) {
      hosts_[i]->OnFinished(kPool, now_);
    }
  }

  void Count(core::TimePoint arrived_at, bool is_late) {
    if (arrived_at >= kCountFrom) {
      ++calls_;
      late_ += is_late ? 1 : 0;
    }
  }

  void Send(size_t from,
            const std::vector<core::HostId>& to,
            ApplicationKind kind,
            std::string_view body) {
    for (const core::HostId& it : to) {
      sent_bytes_[from] += body.size() + kDatagramOverhead;
      if (random_.Unit() < case_.lost) {
        continue;
      }
      const auto receiver = static_cast<size_t>(
          std::find(ids_.begin(), ids_.end(), it) - ids_.begin());
      Later(NetworkDelay(),
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
    PoolSlotExchange& host = *hosts_[i];
    const absl::Status status = kind == ApplicationKind::kPoolSlotQuestion
                                    ? host.OnQuestion(from, text, now_)
                                : kind == ApplicationKind::kPoolSlotAnswer
                                    ? host.OnAnswer(from, text, now_)
                                    : host.OnReport(from, text, now_);
    CHECK(status.ok());
  }

  const Case case_;
  core::RandomSource random_;
  core::TimePoint now_ = kStart;
  std::vector<Server> endpoints_;
  std::vector<core::HostId> ids_;
  std::vector<bool> is_up_;
  std::vector<size_t> sent_bytes_;
  // Requests in flight by host and endpoint.
  std::vector<std::map<uint64_t, uint32_t>> own_;
  // Requests of all hosts by endpoint, in the last load report.
  std::map<uint64_t, uint32_t> reported_;
  std::vector<ServiceTimes> times_;
  std::vector<std::unique_ptr<PoolSlotExchange>> hosts_;
  std::multimap<core::TimePoint, std::function<void()>> tasks_;
  size_t calls_ = 0;
  size_t late_ = 0;
  size_t refused_ = 0;
};

TEST_CASE("calls at a small pool are on time") {
  const Case cases[] = {
      {.what = "calm"},
      {.what = "a twentieth of the datagrams lost", .lost = 0.05},
      {.what = "the granting host is killed", .kills_granter = true},
      {.what = "300 calls return at once", .burst = 300},
      {.what = "half of the endpoints are lost", .endpoints = 3},
      {.what = "half are lost, and 300 calls return at once",
       .endpoints = 3,
       .burst = 300},
      {.what = "8 hosts", .hosts = 8},
      {.what = "300 hosts", .hosts = 300},
  };
  for (const Case& row : cases) {
    Replay replay(row, 1);
    replay.Run();
    INFO(row.what << ": late " << replay.LateShare() << ", refused "
                  << replay.refused() << ", bytes/s of a host "
                  << replay.MeanBytesPerSecond() << ", of the granting host "
                  << replay.MaxBytesPerSecond());
    CHECK(replay.LateShare() < kMaxLateShare);
    CHECK(replay.MeanBytesPerSecond() < 18'000);
  }
}

// The state in which hosts stay after a burst: calls that queued count as long
// ones, so that every host follows the same old report.
TEST_CASE("without grants, calls at a small pool are late") {
  Replay replay({.what = "half of the endpoints are lost",
                 .endpoints = 3,
                 .uses_exchange = false,
                 .follows_reports = true},
                1);
  replay.Run();
  INFO("late " << replay.LateShare());
  CHECK(replay.LateShare() > kMaxLateShare);
}

// A process that is paused between its question and the answer must not act on
// the answer when it goes on, and the granting host must not count the slot.
TEST_CASE("a grant that comes late is discarded") {
  const core::HostId self("h0");
  const core::HostId other("h1");
  const std::vector<core::HostId> hosts = {self, other};
  int asked = 0;
  for (int i = 0; i < 8; ++i) {
    const core::PoolId pool(fmt::format("p{}", i));
    std::vector<std::pair<ApplicationKind, std::string>> sent;
    const auto send = [&sent](const std::vector<core::HostId>& /*to*/,
                              ApplicationKind kind, std::string_view body) {
      sent.emplace_back(kind, body);
    };
    const auto idle = [](uint64_t /*endpoint*/) { return 0U; };
    PoolSlotExchange asking(self, idle, send, 0);
    PoolSlotExchange granting(other, idle, send, 0);
    asking.SetHosts(hosts);
    granting.SetHosts(hosts);
    std::vector<PoolSlotOutcome> outcomes;
    const auto acquire = [&](PoolSlotExchange& host, core::TimePoint now) {
      PoolSlotRequest request{.pool = pool};
      request.candidates.push_back({.endpoint = 7, .slots = 1});
      AskExchange(host, request, now, [&](const PoolSlotResult& result) {
        outcomes.push_back(result.outcome);
      });
    };
    acquire(asking, kStart);
    if (sent.empty()) {
      // This host grants the slots of the pool itself.
      continue;
    }
    ++asked;
    CHECK(granting.OnQuestion(self, sent.back().second, kStart).ok());
    const std::string answer = sent.back().second;
    acquire(granting, kStart);
    CHECK(outcomes == std::vector{PoolSlotOutcome::kFull});
    outcomes.clear();
    const core::TimePoint late = kStart + seconds(1);
    CHECK(asking.OnAnswer(other, answer, late).ok());
    CHECK(outcomes.empty());
    asking.Tick(late);
    CHECK(outcomes == std::vector{PoolSlotOutcome::kUnknown});
    REQUIRE(sent.back().first == ApplicationKind::kPoolSlotReport);
    CHECK(granting.OnReport(self, sent.back().second, late).ok());
    outcomes.clear();
    acquire(granting, late);
    CHECK(outcomes == std::vector{PoolSlotOutcome::kGranted});
  }
  CHECK(asked > 0);
}

}  // namespace
}  // namespace wasabi::forwarding
