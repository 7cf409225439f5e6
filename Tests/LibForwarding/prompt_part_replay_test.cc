// Replays, in virtual time, requests that share a prompt part which crashes
// every endpoint that runs it, among harmless requests with the same other
// parts, on fleets of several sizes.

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/crash_exchange.h"
#include "LibForwarding/crash_suspects.h"
#include "LibForwarding/crash_sync.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr size_t kDataCentres = 5;
constexpr size_t kAggregators = 3;
constexpr core::Duration kStep = milliseconds(10);
constexpr core::Duration kNetworkDelay = milliseconds(10);
// Time from the start of a harmful request to the crash, and from the crash to
// the end of a host's investigation.
constexpr core::Duration kTimeToCrash = milliseconds(60);
constexpr core::Duration kDetectionTime = milliseconds(50);
constexpr core::Duration kRestartTime = seconds(4);
// The first harmful part; the others follow.
constexpr uint64_t kHarmful = 0xbad;

struct Load {
  const char* what;
  size_t hosts;
  size_t endpoints;
  // Requests per second of the fleet.
  double harmless_per_second;
  double harmful_per_second;
  // Number of different first parts, which both kinds of requests have.
  uint64_t first_parts;
  // Share of the datagrams that get lost.
  double lost = 0;
  // When some hosts restart or are cut off from the others, and their share.
  core::Duration disturbed_at = seconds(0);
  core::Duration disturbed_for = seconds(0);
  double disturbed_share = 0;
  bool restarts = false;
  // Harmful parts in succession, and how long requests come with each.
  uint64_t harmful_parts = 1;
  core::Duration harmful_time = seconds(1000);
  // Time from the start to the first of them.
  core::Duration harmful_after = seconds(0);
  // Number of different second parts of harmless requests, and the duration of
  // the longest of these requests.
  uint64_t second_parts = 70;
  double max_seconds = 2.8;
};

class Replay {
 public:
  Replay(const Load& load, uint64_t seed) : load_(load), random_(seed) {
    for (size_t i = 0; i < load.hosts; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
      hosts_.emplace_back();
    }
    for (size_t i = 0; i < load.hosts; ++i) {
      StartHost(i);
    }
    endpoints_.resize(load.endpoints);
  }

  void RunFor(core::Duration duration) {
    for (const core::TimePoint end = now_ + duration; now_ < end;
         now_ += kStep) {
      Disturb();
      Deliver();
      Arrive();
      RunEndpoints();
      for (size_t i = 0; i < hosts_.size(); ++i) {
        Tick(i);
      }
    }
  }

  size_t crashes() const { return crashes_; }
  // Requests with one harmful part that were sent to endpoints at least three
  // seconds after its fifth crash, by hosts that were undisturbed for as long;
  // of the part that has most of them.
  size_t late_harmful() const {
    size_t most = 0;
    for (const auto& [part, it] : parts_) {
      most = std::max(most, it.late);
    }
    return most;
  }
  // Share of the harmless requests, from six seconds after the last crash, that
  // were not refused.
  double served() const {
    return harmless_ == 0 ? 1 : 1 - static_cast<double>(refused_) / harmless_;
  }
  size_t harmless() const { return harmless_; }
  uint64_t bytes() const { return bytes_; }

 private:
  struct Request {
    size_t host = 0;
    RequestFingerprint fingerprint;
    // 0 if the request is harmless.
    uint64_t harmful_part = 0;
    core::TimePoint ends_at;
  };
  struct HarmfulPart {
    size_t crashes = 0;
    core::TimePoint fifth_crash_at;
    size_t late = 0;
  };
  struct Endpoint {
    std::vector<Request> running;
    core::TimePoint back_at{};
    uint64_t starts = 0;
  };
  struct Host {
    std::unique_ptr<CrashSuspects> suspects;
    std::unique_ptr<CrashExchange> exchange;
    std::unique_ptr<CrashSync> sync;
    core::TimePoint disturbed_until{};
    bool is_cut = false;
    // Requests lost with an endpoint, by the end of the investigation.
    std::multimap<core::TimePoint,
                  std::pair<uint64_t, std::vector<RequestFingerprint>>>
        cases;
  };
  struct Datagram {
    core::TimePoint arrives_at;
    size_t from = 0;
    size_t to = 0;
    membership::ApplicationKind kind{};
    std::string body;
  };

  void StartHost(size_t i) {
    Host& host = hosts_[i];
    host.suspects = std::make_unique<CrashSuspects>();
    const auto send = [this, i](const std::vector<core::HostId>& to,
                                membership::ApplicationKind kind,
                                std::string_view body) {
      Send(i, to, kind, body);
    };
    host.exchange =
        std::make_unique<CrashExchange>(ids_[i], host.suspects.get(), send);
    const ReportPeers peers = PeersOf(i);
    host.exchange->SetPeers(peers);
    host.sync =
        std::make_unique<CrashSync>(host.suspects.get(), random_.Next(), send);
    host.sync->SetHosts(peers.fleet);
    host.cases.clear();
  }

  ReportPeers PeersOf(size_t self) const {
    ReportPeers peers;
    for (size_t i = 0; i < ids_.size(); ++i) {
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
    return peers;
  }

  void Send(size_t from,
            const std::vector<core::HostId>& to,
            membership::ApplicationKind kind,
            std::string_view body) {
    for (const core::HostId& it : to) {
      bytes_ += body.size();
      const size_t receiver = std::stoul(it.value().substr(1));
      if (random_.Unit() >= load_.lost && !hosts_[from].is_cut &&
          !hosts_[receiver].is_cut) {
        datagrams_.push_back({.arrives_at = now_ + kNetworkDelay,
                              .from = from,
                              .to = receiver,
                              .kind = kind,
                              .body = std::string(body)});
      }
    }
  }

  void Deliver() {
    std::vector<Datagram> due;
    for (Datagram& it : std::exchange(datagrams_, {})) {
      (it.arrives_at <= now_ ? due : datagrams_).push_back(std::move(it));
    }
    for (const Datagram& it : due) {
      Host& host = hosts_[it.to];
      const absl::Status status =
          it.kind == membership::ApplicationKind::kCrashSync
              ? host.sync->OnMessage(ids_[it.from], it.body, now_)
              : host.exchange->OnReport(it.body, now_);
      REQUIRE(status.ok());
    }
  }

  void Disturb() {
    if (load_.disturbed_share == 0 || now_ != kStart + load_.disturbed_at) {
      return;
    }
    const auto n = static_cast<size_t>(load_.disturbed_share *
                                       static_cast<double>(hosts_.size()));
    for (size_t i = 0; i < n; ++i) {
      hosts_[i].disturbed_until = now_ + load_.disturbed_for;
      if (load_.restarts) {
        StartHost(i);
      } else {
        hosts_[i].is_cut = true;
      }
    }
  }

  void Arrive() {
    const auto is_due = [this](double rate) {
      return random_.Unit() < rate * core::ToSeconds(kStep);
    };
    if (is_due(load_.harmless_per_second)) {
      Route(NewRequest(false));
    }
    if (now_ >= kStart + load_.harmful_after &&
        is_due(load_.harmful_per_second)) {
      Route(NewRequest(true));
    }
  }

  Request NewRequest(bool is_harmful) {
    Request request;
    request.host = random_.Below(hosts_.size());
    request.harmful_part = is_harmful ? HarmfulPartNow() : 0;
    const uint64_t first = 1 + random_.Below(load_.first_parts);
    const uint64_t second = is_harmful
                                ? request.harmful_part
                                : 100 + random_.Below(load_.second_parts);
    request.fingerprint = {.content = ++contents_, .parts = {first, second}};
    std::sort(request.fingerprint.parts.begin(),
              request.fingerprint.parts.end());
    request.ends_at =
        now_ + (is_harmful ? kTimeToCrash
                           : core::FromSeconds(0.3 + (load_.max_seconds - 0.3) *
                                                         random_.Unit()));
    return request;
  }

  uint64_t HarmfulPartNow() const {
    const auto turn = static_cast<uint64_t>(
        (now_ - kStart - load_.harmful_after) / load_.harmful_time);
    return kHarmful + std::min(turn, load_.harmful_parts - 1);
  }

  void Route(Request request) {
    Host& host = hosts_[request.host];
    const bool is_refused = host.suspects->IsRefused(request.fingerprint, now_);
    const bool is_late = crashes_ > 0 && now_ >= fifth_crash_at_ + seconds(6);
    if (request.harmful_part == 0 && is_late) {
      ++harmless_;
      refused_ += is_refused ? 1 : 0;
    }
    if (is_refused) {
      return;
    }
    const bool is_in_touch = now_ >= host.disturbed_until + seconds(3);
    if (request.harmful_part != 0 && is_in_touch) {
      HarmfulPart& part = parts_[request.harmful_part];
      const bool is_late_part =
          part.crashes >= 5 && now_ >= part.fifth_crash_at + seconds(3);
      part.late += is_late_part ? 1 : 0;
    }
    for (int tries = 0; tries < 20; ++tries) {
      Endpoint& endpoint = endpoints_[random_.Below(endpoints_.size())];
      if (endpoint.back_at <= now_) {
        endpoint.running.push_back(std::move(request));
        return;
      }
    }
  }

  void RunEndpoints() {
    for (size_t i = 0; i < endpoints_.size(); ++i) {
      Endpoint& endpoint = endpoints_[i];
      std::vector<Request> running;
      uint64_t crashed_by = 0;
      for (Request& it : std::exchange(endpoint.running, {})) {
        if (it.ends_at > now_) {
          running.push_back(std::move(it));
        } else if (it.harmful_part != 0) {
          crashed_by = it.harmful_part;
          running.push_back(std::move(it));
        } else {
          hosts_[it.host].suspects->RecordCompletion(it.fingerprint, now_);
        }
      }
      if (crashed_by != 0) {
        Crash(i, crashed_by, running);
      } else {
        endpoint.running = std::move(running);
      }
    }
  }

  void Crash(size_t i, uint64_t part, const std::vector<Request>& running) {
    Endpoint& endpoint = endpoints_[i];
    endpoint.back_at = now_ + kRestartTime;
    ++endpoint.starts;
    if (++crashes_ <= 5) {
      fifth_crash_at_ = now_;
    }
    if (++parts_[part].crashes <= 5) {
      parts_[part].fifth_crash_at = now_;
    }
    const uint64_t crash_id = i * 1000 + endpoint.starts;
    std::map<size_t, std::vector<RequestFingerprint>> lost;
    for (const Request& it : running) {
      lost[it.host].push_back(it.fingerprint);
    }
    for (const auto& [host, requests] : lost) {
      hosts_[host].cases.emplace(now_ + kDetectionTime,
                                 std::pair(crash_id, requests));
    }
  }

  void Tick(size_t i) {
    Host& host = hosts_[i];
    if (host.is_cut && now_ >= host.disturbed_until) {
      host.is_cut = false;
    }
    while (!host.cases.empty() && host.cases.begin()->first <= now_) {
      const auto& [crash_id, requests] = host.cases.begin()->second;
      host.suspects->RecordCrash(crash_id, requests, now_);
      host.cases.erase(host.cases.begin());
    }
    constexpr auto kTick = milliseconds(50);
    if ((now_ - kStart) % kTick == core::Duration::zero()) {
      host.suspects->Expire(now_);
      host.exchange->Tick(now_);
      host.sync->Tick(now_);
    }
  }

  static constexpr core::TimePoint kStart{seconds(1000)};

  const Load load_;
  core::RandomSource random_;
  core::TimePoint now_ = kStart;
  std::vector<core::HostId> ids_;
  std::vector<Host> hosts_;
  std::vector<Endpoint> endpoints_;
  std::vector<Datagram> datagrams_;
  uint64_t contents_ = 0;
  size_t crashes_ = 0;
  core::TimePoint fifth_crash_at_ = kStart;
  std::map<uint64_t, HarmfulPart> parts_;
  size_t harmless_ = 0;
  size_t refused_ = 0;
  uint64_t bytes_ = 0;
};

TEST_CASE("harmful requests stop and harmless ones flow in any fleet") {
  const Load loads[] = {
      {"8 hosts", 8, 9, 40, 1.5, 40},
      {"8 hosts, one first part", 8, 9, 20, 1.5, 1},
      {"8 hosts, few harmless requests", 8, 9, 2, 1.5, 3},
      {"8 hosts, many harmful requests", 8, 12, 40, 8, 40},
      {"8 hosts, datagrams get lost", 8, 9, 40, 1.5, 40, 0.3},
      {"8 hosts, half of them restart", 8, 9, 40, 1.5, 40, 0, seconds(12),
       seconds(1), 0.5, true},
      {"8 hosts, half of them cut off", 8, 9, 40, 1.5, 40, 0, seconds(1),
       seconds(8), 0.5},
      {"60 hosts", 60, 60, 80, 2, 40, 0.02},
      {"60 hosts, a third restart", 60, 60, 80, 2, 40, 0.02, seconds(12),
       seconds(1), 0.33, true},
      {"300 hosts", 300, 300, 95, 2, 40, 0.02},
      {"300 hosts, a third cut off", 300, 300, 95, 3, 40, 0.02, seconds(1),
       seconds(8), 0.33},
  };
  for (const Load& load : loads) {
    for (const uint64_t seed : {1, 2, 3}) {
      INFO(load.what << ", seed " << seed);
      Replay replay(load, seed);
      replay.RunFor(seconds(40));
      CHECK(replay.crashes() >= 3);
      CHECK(replay.late_harmful() <= 3);
      CHECK(replay.harmless() >= 20);
      CHECK(replay.served() >= 0.95);
      // The control traffic of a host stays small while endpoints crash.
      CHECK(static_cast<double>(replay.bytes()) / load.hosts / 40 <= 5000);
    }
  }
}

// Guards against sound parts that stay refused after several harmful parts came
// in succession.
TEST_CASE("harmless requests flow after harmful parts in succession") {
  Load load = {"5 hosts", 5, 5, 20, 4, 1};
  load.harmful_parts = 6;
  load.harmful_time = milliseconds(1500);
  load.second_parts = 12;
  load.max_seconds = 8;
  load.harmful_after = seconds(15);
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    Replay replay(load, seed);
    replay.RunFor(seconds(40));
    CHECK(replay.late_harmful() <= 3);
    CHECK(replay.served() >= 0.95);
  }
}

}  // namespace
}  // namespace wasabi::forwarding
