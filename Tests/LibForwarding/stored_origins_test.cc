// Runs the recording and the lookup of stream origins of whole fleets in
// virtual time, over a network that loses datagrams, with a store that outlives
// the hosts. Guards against streams that are refused, or joined from two
// versions, after all hosts were killed.

#include "LibForwarding/stored_origins.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/random_source.h"
#include "LibCore/text.h"
#include "LibForwarding/origin_recorder.h"
#include "LibForwarding/origin_reporter.h"
#include "LibForwarding/version_recorder.h"
#include "Tests/Support/TopicStore/keyed_log.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using membership::ApplicationKind;

constexpr core::Duration kTick = milliseconds(10);
// With the 0.2 s for other hosts, half a second is allowed.
constexpr core::Duration kMaxLookup = milliseconds(300);
// Streams are resumed at least this often.
constexpr double kMinFoundShare = 0.9;
constexpr size_t kDatagramOverhead = 28;
const char* const kTopic = "origins";

Endpoint MakeEndpoint(int version) {
  Endpoint endpoint;
  endpoint.id = core::RunnerId(fmt::format("e{}", version));
  endpoint.pool = core::PoolId("p");
  endpoint.software_version = fmt::format("v{}", version);
  return endpoint;
}

const std::vector<WeightedPool> kPools = {{.pool = core::PoolId("p")}};

struct Host {
  OriginHistory history;
  std::unique_ptr<OriginRecorder> recorder;
  std::unique_ptr<OriginReporter> reporter;
  std::unique_ptr<StoredOrigins> stored;
  int reads = 0;
  bool is_first_start = false;
};

class Fleet {
 public:
  Fleet(size_t hosts, double loss) : loss_(loss) {
    for (size_t i = 0; i < hosts; ++i) {
      ids_.emplace_back(fmt::format("h{}", i));
    }
    hosts_.resize(hosts);
    StartAll(true);
  }

  // Starts all hosts; each knows the `known` hosts after it until KnowAll.
  void StartAll(bool is_first_start, size_t known = SIZE_MAX) {
    tasks_.clear();
    for (size_t i = 0; i < ids_.size(); ++i) {
      Start(i, is_first_start);
      std::vector<core::HostId> running;
      for (size_t j = 0; j < std::min(known, ids_.size()); ++j) {
        running.push_back(ids_[(i + j) % ids_.size()]);
      }
      hosts_[i]->stored->SetHosts(running, ids_);
      hosts_[i]->reporter->SetHosts(running);
    }
  }
  void KnowAll() {
    for (const auto& it : hosts_) {
      if (it != nullptr) {
        it->stored->SetHosts(ids_, ids_);
        it->reporter->SetHosts(ids_);
      }
    }
  }
  // Kills a host that has written records.
  void KillRecorder() {
    const auto it =
        std::find_if(hosts_.begin(), hosts_.end(), [](const auto& host) {
          return host != nullptr && host->recorder->writes() > 0;
        });
    REQUIRE(it != hosts_.end());
    *it = nullptr;
  }
  bool IsUp(size_t host) const { return hosts_[host] != nullptr; }
  void Kill(size_t host) { hosts_[host] = nullptr; }

  void Start(size_t i, bool is_first_start) {
    hosts_[i] = std::make_unique<Host>();
    Host& host = *hosts_[i];
    const auto send = [this, i](const std::vector<core::HostId>& to,
                                ApplicationKind kind, std::string_view body) {
      Send(i, to, kind, std::string(body));
    };
    host.recorder = std::make_unique<OriginRecorder>(
        ids_[i], send,
        [this, i](const std::string& key, const std::string& value,
                  const std::function<void(bool)>& done) {
          Put(i, key, value, done);
        });
    host.reporter = std::make_unique<OriginReporter>(
        ids_[i], send, host.recorder.get(), random_.Next() >> 1U);
    host.stored = std::make_unique<StoredOrigins>(
        ids_[i], &host.history, random_.Next(), send, [this, i]() { Read(i); });
    if (is_first_start) {
      host.history.SetFirstStart();
      host.recorder->SetPosition(0);
    }
  }

  void Begin(size_t i, uint64_t stream, int version) {
    const Endpoint endpoint = MakeEndpoint(version);
    hosts_[i]->history.RecordStream(endpoint, now_);
    hosts_[i]->reporter->OnStreamBegun(endpoint.pool.Hash(), {stream},
                                       OriginOf(endpoint), now_);
    versions_[stream] = version;
  }

  // What the reader of the fleet does when a version appears or disappears.
  void RecordVersions() {
    log.Append(kTopic, std::string(kVersionsKey),
               core::Encode(VersionRecorder::NewRecord(hosts_[0]->history,
                                                       log.epoch(), now_)));
  }

  // Starts a lookup. It counts as joined if another version results.
  void Find(size_t i, uint64_t stream) {
    const core::TimePoint started_at = now_;
    hosts_[i]->history.Observe(table, milliseconds(100), now_);
    const auto only = hosts_[i]->history.OnlyOrigin(kPools, now_);
    const auto count = [this, i, stream,
                        started_at](std::optional<StreamOrigin> origin) {
      if (!origin) {
        origin = hosts_[i]->history.OnlyOrigin(kPools, now_);
      }
      longest = std::max(longest, now_ - started_at);
      ++ended;
      if (!origin) {
        return;
      }
      const auto version = versions_.find(stream);
      const bool is_right = version != versions_.end() &&
                            OriginOf(MakeEndpoint(version->second)) == *origin;
      ++(is_right ? found : joined);
    };
    if (only) {
      count(only);
      return;
    }
    hosts_[i]->stored->Find(StreamKey{stream}, kPools, now_, count);
  }

  void Run(core::Duration duration) {
    for (const core::TimePoint end = now_ + duration; now_ < end;) {
      now_ += kTick;
      for (const auto& task : std::exchange(tasks_, {})) {
        task();
      }
      const bool observes =
          now_.time_since_epoch() % milliseconds(500) == core::Duration::zero();
      for (const auto& it : hosts_) {
        if (it == nullptr) {
          continue;
        }
        if (observes) {
          it->history.Observe(table, milliseconds(100), now_);
        }
        it->reporter->Tick(it->history, now_);
        if (it->recorder->NeedsPosition()) {
          it->stored->StartRead(now_);
        }
        it->recorder->Tick(now_);
        it->stored->Tick(now_);
      }
    }
  }

  int HostsThatRead() const {
    return static_cast<int>(std::count_if(
        hosts_.begin(), hosts_.end(),
        [](const auto& it) { return it != nullptr && it->reads > 0; }));
  }

  EndpointTable table;
  support::KeyedLog log;
  bool is_store_down = false;
  int found = 0;
  int joined = 0;
  int ended = 0;
  int puts = 0;
  int reads = 0;
  core::Duration longest{};
  // Bytes that each host sent and received.
  std::map<size_t, size_t> bytes;
  size_t datagrams = 0;

 private:
  void Send(size_t from,
            const std::vector<core::HostId>& to,
            ApplicationKind kind,
            const std::string& body) {
    for (const core::HostId& it : to) {
      const auto i = static_cast<size_t>(
          std::find(ids_.begin(), ids_.end(), it) - ids_.begin());
      ++datagrams;
      CHECK(body.size() < 1300);
      bytes[from] += body.size() + kDatagramOverhead;
      bytes[i] += body.size() + kDatagramOverhead;
      if (random_.Unit() < loss_) {
        continue;
      }
      tasks_.push_back([this, from, i, kind, body]() {
        if (hosts_[i] != nullptr) {
          CHECK(Handle(*hosts_[i], ids_[from], kind, body).ok());
        }
      });
    }
  }

  absl::Status Handle(Host& host,
                      const core::HostId& from,
                      ApplicationKind kind,
                      const std::string& body) {
    switch (kind) {
      case ApplicationKind::kOriginsToRecord:
        return host.recorder->OnRequest(from, body);
      case ApplicationKind::kOriginsRecorded:
        return host.reporter->OnRecorded(body);
      case ApplicationKind::kStoredOriginQuery:
        return host.stored->OnQuery(from, body, now_);
      default:
        return host.stored->OnAnswer(from, body, now_);
    }
  }

  void Put(size_t i,
           const std::string& key,
           const std::string& value,
           const std::function<void(bool)>& done) {
    ++puts;
    CHECK(value.size() < 262'144);
    bytes[i] += value.size();
    if (!is_store_down) {
      log.Append(kTopic, key, value);
    }
    tasks_.push_back([this, i, done, is_written = !is_store_down]() {
      if (hosts_[i] != nullptr) {
        done(is_written);
      }
    });
  }

  void Read(size_t i) {
    ++reads;
    ++hosts_[i]->reads;
    const absl::StatusOr<platform::KeyedPage> page =
        is_store_down ? absl::StatusOr<platform::KeyedPage>(
                            absl::UnavailableError("simulated outage"))
                      : log.ReadNewest(kTopic);
    tasks_.push_back([this, i, page]() {
      if (hosts_[i] != nullptr) {
        hosts_[i]->stored->OnRead(page, now_);
        if (page.ok() && hosts_[i]->recorder->NeedsPosition()) {
          hosts_[i]->recorder->SetPosition(hosts_[i]->stored->next_slot());
        }
      }
    });
  }

  const double loss_;
  core::RandomSource random_{1};
  core::TimePoint now_{};
  std::vector<core::HostId> ids_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::function<void()>> tasks_;
  std::map<uint64_t, int> versions_;
};

struct KillCase {
  const char* what;
  size_t hosts;
  double loss;
  // Changes what happens before all hosts are killed, or while none runs.
  std::function<void(Fleet&)> before_kill;
  std::function<void(Fleet&)> while_down;
  // Streams that begin before_kill.
  int more_streams;
  // Least share of the streams that are found.
  double min_found;
  // Hosts that may read the store after the restart.
  int max_readers;
};

void BeginStreams(Fleet& it, size_t hosts, int first, int n) {
  for (int i = first; i < first + n; ++i) {
    auto host = static_cast<size_t>(i) % hosts;
    host = it.IsUp(host) ? host : (host + 1) % hosts;
    it.Begin(host, static_cast<uint64_t>(i) + 1, 1 + i % 2);
    it.Run(kTick);
  }
}

TEST_CASE("origins are found after all hosts were killed") {
  constexpr int kStreams = 300;
  constexpr int kMore = 100;
  // A few of a fleet of 90: the three readers, and those that reach none.
  constexpr int kFew = 10;
  const auto nothing = [](Fleet& /*it*/) {};
  const std::vector<KillCase> cases = {
      {"a small fleet", 3, 0, nothing, nothing, 0, kMinFoundShare, 3},
      {"a fleet of 90", 90, 0, nothing, nothing, 0, kMinFoundShare, kFew},
      {"datagrams are lost", 90, 0.05, nothing, nothing, 0, kMinFoundShare,
       kFew},
      {"the old version has left", 8, 0, nothing,
       [](Fleet& it) { it.table.Remove(core::RunnerId("e1")); }, 0,
       kMinFoundShare, 8},
      // Nothing is lost but what begins while the store is away.
      {"the store is away at the kill", 8, 0,
       [](Fleet& it) {
         it.is_store_down = true;
         BeginStreams(it, 8, kStreams, kMore);
       },
       [](Fleet& it) { it.is_store_down = false; }, kMore,
       kMinFoundShare * kStreams / (kStreams + kMore), 8},
      {"the store is restored from a backup of before the release", 8, 0,
       nothing,
       [](Fleet& it) {
         it.log.RestoreFrom(support::KeyedLog());
         it.table.Remove(core::RunnerId("e1"));
       },
       0, 0, 8},
      // The version that began the streams is rolled back and returns.
      {"the old version leaves and returns", 8, 0,
       [](Fleet& it) {
         it.table.Remove(core::RunnerId("e1"));
         it.Run(core::seconds(2));
         it.table.Put(MakeEndpoint(1));
         it.Run(core::seconds(1));
       },
       nothing, 0, kMinFoundShare, 8},
      // An older build writes no records.
      {"records are missing and the old version has left", 8, 0, nothing,
       [](Fleet& it) {
         it.log = support::KeyedLog();
         it.table.Remove(core::RunnerId("e1"));
       },
       0, 0, 8},
      // The second recorder of the group takes over.
      {"the recorder is killed first", 8, 0,
       [](Fleet& it) {
         it.KillRecorder();
         BeginStreams(it, 8, kStreams, kMore);
         it.Run(milliseconds(800));
       },
       nothing, kMore, kMinFoundShare, 8},
  };
  for (const KillCase& row : cases) {
    INFO(row.what);
    Fleet it(row.hosts, row.loss);
    it.table.Put(MakeEndpoint(1));
    it.Run(milliseconds(600));
    it.RecordVersions();
    // Half of the streams begin before the second version appears.
    for (int i = 0; i < kStreams / 4; ++i) {
      it.Begin(static_cast<size_t>(i) % row.hosts, static_cast<uint64_t>(i) + 1,
               1);
      it.Run(kTick);
    }
    CHECK(it.puts == 0);
    it.table.Put(MakeEndpoint(2));
    it.Run(milliseconds(600));
    it.RecordVersions();
    BeginStreams(it, row.hosts, kStreams / 4, kStreams - kStreams / 4);
    it.Run(milliseconds(200));
    row.before_kill(it);
    for (size_t i = 0; i < row.hosts; ++i) {
      it.Kill(i);
    }
    it.Run(milliseconds(500));
    row.while_down(it);
    it.reads = 0;
    it.StartAll(false, 12);
    it.Run(milliseconds(300));
    const int streams = kStreams + row.more_streams;
    for (int i = 0; i < streams; ++i) {
      it.Find(static_cast<size_t>(i * 7) % row.hosts,
              static_cast<uint64_t>(i) + 1);
      if (i % 3 == 0) {
        it.Run(kTick);
      }
      if (i == streams / 2) {
        it.KnowAll();
      }
    }
    it.Run(kMaxLookup);
    const double share = it.found / static_cast<double>(streams);
    WARN(row.what << ": found " << it.found << " of " << streams << ", reads "
                  << it.reads << " by " << it.HostsThatRead() << " hosts, "
                  << it.puts << " writes, longest "
                  << core::ToMilliseconds(it.longest) << " ms");
    CHECK(it.ended == streams);
    CHECK(it.joined == 0);
    CHECK(share >= row.min_found);
    CHECK(it.longest <= kMaxLookup);
    CHECK(it.HostsThatRead() <= row.max_readers);
  }
}

struct CostCase {
  size_t hosts;
  int streams_per_second;
};

// Control traffic of a host stays within 18 KB/s, and the fleet within the
// appends that the store allows: 400 a second for a small fleet, 1,200 for a
// large one.
TEST_CASE("recording costs little while two versions serve") {
  constexpr int kSeconds = 10;
  for (const CostCase& row : {CostCase{8, 100}, CostCase{90, 540},
                              CostCase{300, 3900}, CostCase{380, 4900}}) {
    Fleet it(row.hosts, 0);
    it.table.Put(MakeEndpoint(1));
    it.table.Put(MakeEndpoint(2));
    it.Run(milliseconds(600));
    it.bytes.clear();
    it.datagrams = 0;
    uint64_t stream = 1;
    for (int tick = 0; tick < kSeconds * 100; ++tick) {
      const auto due = static_cast<uint64_t>(row.streams_per_second) *
                       static_cast<uint64_t>(tick + 1) / 100;
      for (; stream <= due; ++stream) {
        it.Begin((stream * 31) % row.hosts, stream,
                 1 + static_cast<int>(stream % 2));
      }
      it.Run(kTick);
    }
    size_t most = 0;
    size_t sum = 0;
    for (const auto& [host, bytes] : it.bytes) {
      most = std::max(most, bytes / kSeconds);
      sum += bytes / kSeconds;
    }
    WARN(row.hosts << " hosts, " << row.streams_per_second
                   << " streams/s: " << it.puts / kSeconds << " writes/s, "
                   << it.datagrams / kSeconds << " datagrams/s in the fleet, "
                   << sum / row.hosts << " bytes/s and host on average, "
                   << most << " at most");
    CHECK(it.puts / kSeconds <= (row.hosts < 100 ? 400 : 1200));
    CHECK(most <= 18'000);
  }
}

struct VersionCase {
  const char* what;
  std::optional<size_t> rank;
  bool is_complete;
  // The versions of the known record; empty if there is none.
  std::vector<int> known;
  int64_t known_epoch;
  std::vector<int> present;
  // Actions within three seconds.
  int reads;
  int writes;
};

TEST_CASE("the record of versions is written when it lacks one") {
  const VersionCase cases[] = {
      {"current", 0, true, {1}, 1, {1}, 0, 0},
      {"a new version", 0, true, {1}, 1, {1, 2}, 0, 1},
      {"a version is gone", 0, true, {1, 2}, 1, {2}, 0, 1},
      {"after a restore", 0, true, {1}, 0, {1}, 0, 1},
      {"first record", 0, true, {}, 1, {1}, 1, 1},
      {"history too short", 0, false, {1}, 1, {1, 2}, 0, 0},
      {"fleet not known", std::nullopt, true, {1}, 1, {1, 2}, 0, 0},
      {"the reader does not write", 1, true, {1}, 1, {1, 2}, 1, 1},
      {"a version is gone, second host", 1, true, {1, 2}, 1, {2}, 0, 0},
      {"not one of the first", 3, true, {1}, 1, {1, 2}, 0, 0},
  };
  for (const VersionCase& row : cases) {
    INFO(row.what);
    OriginHistory history;
    if (row.is_complete) {
      history.SetFirstStart();
    }
    std::optional<VersionRecord> known;
    core::TimePoint now{};
    if (!row.known.empty()) {
      OriginHistory recorded;
      for (const int it : row.known) {
        recorded.RecordStream(MakeEndpoint(it), now);
      }
      known = VersionRecorder::NewRecord(recorded, row.known_epoch, now);
    }
    VersionRecorder recorder;
    int reads = 0;
    int writes = 0;
    for (int i = 0; i < 300; ++i) {
      now += kTick;
      for (const int it : row.present) {
        history.RecordStream(MakeEndpoint(it), now);
      }
      switch (recorder.Decide(row.rank, known, history, 1, now)) {
        case VersionAction::kNone:
          break;
        case VersionAction::kRead:
          ++reads;
          recorder.OnRead();
          break;
        case VersionAction::kWrite:
          ++writes;
          known = VersionRecorder::NewRecord(history, 1, now);
          break;
      }
    }
    CHECK(reads == row.reads);
    CHECK(writes == row.writes);
  }
}

TEST_CASE("malformed messages about stored origins are rejected") {
  OriginHistory history;
  StoredOrigins stored(
      core::HostId("h"), &history, 1, [](auto&&...) {}, []() {});
  OriginRecorder recorder(
      core::HostId("h"), [](auto&&...) {}, [](auto&&...) {});
  OriginReporter reporter(
      core::HostId("h"), [](auto&&...) {}, &recorder, 0);
  const core::HostId from("g");
  CHECK_FALSE(stored.OnQuery(from, "junk", {}).ok());
  CHECK_FALSE(stored.OnAnswer(from, "junk", {}).ok());
  CHECK_FALSE(recorder.OnRequest(from, "junk").ok());
  CHECK_FALSE(reporter.OnRecorded("junk").ok());
}

struct AnswerAgeCase {
  const char* what;
  // Age of the registrations that the asked host has observed last.
  core::Duration view_age;
  // How long the asking host has observed them before the answer.
  core::Duration observed;
  bool is_known;
};

// Guards against streams that are joined because another host's history is
// taken for complete although it ends before the asking host's begins: a
// version that came and left in between is in neither.
TEST_CASE("an answer is complete only up to the age of what it is based on") {
  const AnswerAgeCase cases[] = {
      {"the asked host's view is newer", milliseconds(100), core::seconds(2),
       true},
      {"the asked host's view is a little older", core::seconds(1),
       core::seconds(2), true},
      {"the asked host's view ends before", core::seconds(3), core::seconds(2),
       false},
      {"the asked host's view is as old as allowed", core::seconds(7),
       core::seconds(2), false},
  };
  for (const AnswerAgeCase& row : cases) {
    INFO(row.what);
    const core::TimePoint now = core::TimePoint() + core::seconds(1000);
    EndpointTable table;
    table.Put(MakeEndpoint(1));
    OriginHistory asked_history;
    asked_history.SetFirstStart();
    asked_history.Observe(table, milliseconds(100), now - row.view_age);
    asked_history.Observe(table, row.view_age, now);
    OriginHistory asking_history;
    asking_history.Observe(table, milliseconds(0), now - row.observed);
    asking_history.Observe(table, milliseconds(0), now);
    const core::HostId asking_id("h1");
    const core::HostId asked_id("h2");
    std::string answer;
    StoredOrigins asked(
        asked_id, &asked_history, 1,
        [&answer](const std::vector<core::HostId>& /*to*/,
                  ApplicationKind /*kind*/,
                  std::string_view body) { answer = std::string(body); },
        []() {});
    StoredOrigins asking(
        asking_id, &asking_history, 1,
        [](const std::vector<core::HostId>& /*to*/, ApplicationKind /*kind*/,
           std::string_view /*body*/) {},
        []() {});
    CHECK(
        asked.OnQuery(asking_id, core::Encode(StoredOriginQuery()), now).ok());
    CHECK(asking.OnAnswer(asked_id, answer, now).ok());
    CHECK(asking_history.OnlyOrigin(kPools, now).has_value() == row.is_known);
  }
}

}  // namespace
}  // namespace wasabi::forwarding
