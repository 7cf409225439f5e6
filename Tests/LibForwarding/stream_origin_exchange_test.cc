// Runs the exchange of many hosts in virtual time, over a network that loses
// datagrams.

#include "LibForwarding/stream_origin_exchange.h"

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/origin_history.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using membership::ApplicationKind;

constexpr core::Duration kTick = milliseconds(50);
constexpr core::Duration kMaxSearch = milliseconds(300);

class Fleet {
 public:
  Fleet(size_t hosts, double loss) : loss_(loss) {
    for (size_t i = 0; i < hosts; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
    }
    for (size_t i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<StreamOriginExchange>(
          ids_[i],
          [this, i](const std::vector<core::HostId>& to, ApplicationKind kind,
                    std::string_view body) { Send(i, to, kind, body); }));
      hosts_.back()->SetHosts(ids_);
    }
  }

  void Record(size_t host, uint64_t stream) {
    hosts_[host]->Record({stream}, {stream + 1}, now_);
  }

  // Returns whether the host finds the origin that Record gave to the stream.
  // Fails the test if it finds another one, or if the search does not end.
  bool Finds(size_t host, uint64_t stream) {
    bool has_ended = false;
    std::optional<StreamOrigin> found;
    hosts_[host]->Find({stream}, now_, [&](std::optional<StreamOrigin> it) {
      CHECK_FALSE(has_ended);
      has_ended = true;
      found = it;
    });
    for (core::Duration t{}; t < kMaxSearch && !has_ended; t += kTick) {
      Tick();
    }
    CHECK(has_ended);
    CHECK((!found || found->hash == stream + 1));
    return found.has_value();
  }

  void Tick() {
    now_ += kTick;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (!down_.contains(i)) {
        hosts_[i]->Tick(now_);
      }
    }
  }
  void Advance(core::Duration duration) { now_ += duration; }

  // Stops a host. The others learn of it only by SetHosts.
  void Kill(size_t host) { down_.insert(host); }
  void ForgetKilled() {
    std::vector<core::HostId> left;
    for (size_t i = 0; i < ids_.size(); ++i) {
      if (!down_.contains(i)) {
        left.push_back(ids_[i]);
      }
    }
    for (const auto& it : hosts_) {
      it->SetHosts(left);
    }
  }

  size_t datagrams() const { return datagrams_; }

 private:
  void Send(size_t from,
            const std::vector<core::HostId>& to,
            ApplicationKind kind,
            std::string_view body) {
    for (const core::HostId& id : to) {
      ++datagrams_;
      const auto position = std::find(ids_.begin(), ids_.end(), id);
      const auto i = static_cast<size_t>(position - ids_.begin());
      if (!down_.contains(i) && random_.Unit() >= loss_) {
        CHECK(Deliver(from, i, kind, body).ok());
      }
    }
  }

  absl::Status Deliver(size_t from,
                       size_t to,
                       ApplicationKind kind,
                       std::string_view body) {
    switch (kind) {
      case ApplicationKind::kStreamOrigins:
        return hosts_[to]->OnReport(body, now_);
      case ApplicationKind::kStreamOriginQuery:
        return hosts_[to]->OnQuery(ids_[from], body);
      default:
        return hosts_[to]->OnAnswer(ids_[from], body, now_);
    }
  }

  const double loss_;
  core::RandomSource random_{1};
  std::vector<core::HostId> ids_;
  std::vector<std::unique_ptr<StreamOriginExchange>> hosts_;
  std::set<size_t> down_;
  core::TimePoint now_{};
  size_t datagrams_ = 0;
};

struct FleetCase {
  const char* what;
  size_t hosts;
  double loss;
  // Hosts that are killed after the streams have begun; host 0, where they
  // began, is one of them.
  size_t killed;
  // Whether the others know that these hosts are gone.
  bool knows;
  // The least share of the streams whose origin is found.
  double min_share;
};

TEST_CASE("a host finds the origin of a stream that began at another one") {
  const FleetCase cases[] = {
      {"two hosts", 2, 0, 0, false, 1},
      {"six hosts", 6, 0, 0, false, 1},
      {"the host of the stream is gone", 6, 0, 1, false, 1},
      {"three of six hosts are gone", 6, 0, 3, false, 1},
      {"three of six hosts are known to be gone", 6, 0, 3, true, 1},
      {"three in a hundred datagrams are lost", 6, 0.03, 1, false, 0.99},
      {"three hundred hosts", 300, 0, 1, true, 1},
      {"six in ten of three hundred hosts are gone", 300, 0, 180, false, 0.7},
  };
  for (const FleetCase& row : cases) {
    INFO(row.what);
    Fleet fleet(row.hosts, row.loss);
    constexpr uint64_t kStreams = 200;
    for (uint64_t stream = 0; stream < kStreams; ++stream) {
      fleet.Record(0, stream * 0x9e3779b97f4a7c15);
    }
    fleet.Tick();
    for (size_t i = 0; i < row.killed; ++i) {
      fleet.Kill(i);
    }
    if (row.knows) {
      fleet.ForgetKilled();
    }
    size_t found = 0;
    for (uint64_t stream = 0; stream < kStreams; ++stream) {
      found += fleet.Finds(row.hosts - 1, stream * 0x9e3779b97f4a7c15) ? 1 : 0;
    }
    CHECK(static_cast<double>(found) >= row.min_share * kStreams);
  }
}

TEST_CASE("a search for a stream that no host knows ends without an origin") {
  Fleet alone(1, 0);
  CHECK_FALSE(alone.Finds(0, 7));
  Fleet fleet(6, 0);
  CHECK_FALSE(fleet.Finds(0, 7));
  Fleet silent(6, 1);
  CHECK_FALSE(silent.Finds(0, 7));
}

TEST_CASE("origins are forgotten when no caller can ask for them any more") {
  Fleet fleet(6, 0);
  fleet.Record(0, 7);
  fleet.Tick();
  CHECK(fleet.Finds(1, 7));
  fleet.Advance(core::seconds(61));
  fleet.Tick();
  CHECK_FALSE(fleet.Finds(2, 7));
}

TEST_CASE("streams that begin together share their datagrams") {
  Fleet fleet(6, 0);
  for (uint64_t stream = 0; stream < 20; ++stream) {
    fleet.Record(0, stream * 0x9e3779b97f4a7c15);
  }
  fleet.Tick();
  CHECK(fleet.datagrams() <= 5);
}

TEST_CASE("the number of known streams is bounded") {
  StreamOriginTable table(core::seconds(60), 3);
  for (uint64_t i = 1; i <= 5; ++i) {
    table.Put({i}, {i}, core::TimePoint{});
  }
  CHECK(table.size() == 3);
  CHECK_FALSE(table.Find({1}).has_value());
  CHECK((table.Find({5}) == StreamOrigin{5}));
}

TEST_CASE("malformed messages about origins are rejected") {
  StreamOriginExchange exchange(core::HostId("h"), [](auto&&...) {});
  const core::HostId from("g");
  CHECK_FALSE(exchange.OnReport("junk", {}).ok());
  CHECK_FALSE(exchange.OnQuery(from, "junk").ok());
  CHECK_FALSE(exchange.OnAnswer(from, "junk", {}).ok());
}

Endpoint MakeEndpoint(const char* id, const char* pool, const char* version) {
  Endpoint endpoint;
  endpoint.id = core::RunnerId(id);
  endpoint.pool = core::PoolId(pool);
  endpoint.software_version = version;
  return endpoint;
}

constexpr core::Duration kCurrent = core::milliseconds(100);

TEST_CASE("a pool has one origin only after its other versions are long gone") {
  const std::vector<WeightedPool> pools = {{.pool = core::PoolId("p")}};
  EndpointTable table;
  OriginHistory history;
  history.SetFirstStart();
  core::TimePoint now{};
  CHECK_FALSE(history.OnlyOrigin(pools, now).has_value());
  const Endpoint first = MakeEndpoint("e1", "p", "v1");
  table.Put(first);
  table.Put(MakeEndpoint("e3", "q", "v9"));
  history.Observe(table, kCurrent, now);
  CHECK((history.OnlyOrigin(pools, now) == OriginOf(first)));
  const Endpoint second = MakeEndpoint("e2", "p", "v2");
  table.Put(second);
  history.Observe(table, kCurrent, now);
  CHECK_FALSE(history.OnlyOrigin(pools, now).has_value());
  table.Remove(first.id);
  for (int i = 0; i < 10; ++i) {
    CHECK_FALSE(history.OnlyOrigin(pools, now).has_value());
    now += core::seconds(6);
    history.Observe(table, kCurrent, now);
  }
  CHECK((history.OnlyOrigin(pools, now) == OriginOf(second)));
  // A version that returns, as after a roll-back, counts again.
  table.Put(first);
  history.Observe(table, kCurrent, now);
  CHECK_FALSE(history.OnlyOrigin(pools, now).has_value());
}

struct MemoryCase {
  const char* what;
  // Seconds between observations, and the age of the registrations.
  int interval_s;
  int view_age_s;
  int observations;
  bool is_complete;
};

// Guards against streams that are joined because a process trusts what it has
// seen since a start, a pause or a partition that a version came before.
TEST_CASE("a history counts once it reaches back longer than a stream lives") {
  const MemoryCase cases[] = {
      {"just started", 1, 0, 1, false},
      {"nearly long enough", 1, 0, 60, false},
      {"long enough", 1, 0, 61, true},
      {"paused for seconds each time", 9, 0, 61, false},
      {"cut off from the registrations", 1, 9, 61, false},
  };
  for (const MemoryCase& row : cases) {
    INFO(row.what);
    EndpointTable table;
    table.Put(MakeEndpoint("e1", "p", "v1"));
    OriginHistory history;
    core::TimePoint now = core::TimePoint() + core::seconds(1000);
    for (int i = 0; i < row.observations; ++i) {
      now += core::seconds(row.interval_s);
      history.Observe(table, core::seconds(row.view_age_s), now);
    }
    CHECK(history.IsComplete(now) == row.is_complete);
    CHECK(history.OnlyOrigin({{.pool = core::PoolId("p")}}, now).has_value() ==
          row.is_complete);
  }
}

TEST_CASE("a process knows from records what it has not seen") {
  EndpointTable table;
  const Endpoint second = MakeEndpoint("e2", "p", "v2");
  table.Put(second);
  const core::PoolId pool("p");
  const uint64_t other = OriginOf(MakeEndpoint("e1", "p", "v1")).hash;
  core::TimePoint now{};
  for (const bool is_same : {true, false}) {
    OriginHistory history;
    history.Observe(table, kCurrent, now);
    history.AddPast({{.pool = pool.Hash(),
                      .origins = {is_same ? OriginOf(second).hash : other}}},
                    true, now);
    CHECK(history.OnlyOrigin({{.pool = pool}}, now).has_value() == is_same);
    CHECK(history.HasSeveral(pool.Hash(), now) != is_same);
    // Nothing is known of other pools.
    CHECK_FALSE(history.IsComplete(core::PoolId("q").Hash(), now));
  }
}

}  // namespace
}  // namespace wasabi::forwarding
