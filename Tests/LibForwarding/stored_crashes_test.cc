// Guards against hosts that forget what crashes endpoints when all of them are
// killed, against blame that outlives its crashes, and against calls to the
// platform where nothing crashes.

#include "LibForwarding/stored_crashes.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>

#include "LibCore/result_code.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::Duration kTick = milliseconds(50);
constexpr uint64_t kHarmful = 77;

// The topic of the fleet.
struct Store {
  std::optional<std::string> value;
  bool is_down = false;
  int reads = 0;
  int writes = 0;
  size_t written_bytes = 0;
  platform::LogEpoch epoch = 1;
};

// One process of a host. Calls to the store end at the next tick.
struct Host {
  Host(Store* its_store, core::TimePoint* its_now, bool is_first_start = false)
      : store(its_store),
        now(its_now),
        stored(
            &suspects,
            is_first_start,
            [this]() {
              ++store->reads;
              is_reading = true;
            },
            [this](const std::string& value) {
              ++store->writes;
              store->written_bytes += value.size();
              writing = value;
            }) {}

  void Tick(std::optional<size_t> rank) {
    if (is_reading) {
      is_reading = false;
      OnRead();
    }
    if (writing) {
      if (!store->is_down) {
        store->value = writing;
      }
      writing.reset();
      stored.OnWritten(!store->is_down, *now);
    }
    suspects.Expire(*now);
    stored.Tick(rank, store->epoch, *now);
  }

  void OnRead() {
    if (store->is_down) {
      restored = stored.OnRead(
          core::MakeStatus(core::ResultCode::kPlatformUnavailable, "down"),
          *now);
      return;
    }
    platform::KeyedPage page;
    page.records.push_back({.key = "of another writer", .value = "x"});
    if (store->value) {
      page.records.push_back(
          {.key = std::string(kBlameKey), .value = store->value});
    }
    restored = stored.OnRead(page, *now);
  }

  RequestFingerprint Harmful(uint64_t content) const {
    return {.content = content, .parts = {1, kHarmful}};
  }
  // Crashes three endpoints, so that the harmful part is refused.
  void Crash() {
    for (uint64_t i = 1; i <= 3; ++i) {
      suspects.RecordCrash(i, {Harmful(100 + i)}, *now);
      *now += milliseconds(500);
    }
    suspects.RecordCompletion({.content = 200, .parts = {1}}, *now);
  }
  bool Refuses() { return suspects.IsRefused(Harmful(300), *now); }

  Store* const store;
  core::TimePoint* const now;
  CrashSuspects suspects;
  bool is_reading = false;
  std::optional<std::string> writing;
  absl::StatusOr<size_t> restored = size_t{0};
  StoredCrashes stored;
};

void RunFor(Host& host, std::optional<size_t> rank, core::Duration duration) {
  const core::TimePoint end = *host.now + duration;
  while (*host.now < end) {
    host.Tick(rank);
    *host.now += kTick;
  }
}

// Guards against a record whose reader counts crashes as one that its writer
// counted apart.
TEST_CASE(
    "crashes by a request that was sent again count apart in the record") {
  Store store;
  core::TimePoint now{seconds(100)};
  Host writer(&store, &now, true);
  for (uint64_t i = 0; i < 4; ++i) {
    writer.suspects.RecordCrash(i, {writer.Harmful(100 + i / 2)}, now);
    now += milliseconds(60);
  }
  CHECK(writer.Refuses());
  RunFor(writer, 0, seconds(3));
  Host reader(&store, &now);
  RunFor(reader, 0, seconds(1));
  CHECK(reader.Refuses());
}

// Guards against a request that crashes endpoints again after all hosts were
// killed, as only prompt parts were recorded.
TEST_CASE("a host that starts refuses the requests that the fleet refused") {
  const RequestFingerprint harmful = {.content = 900, .parts = {}};
  const size_t writer_rank = GENERATE(0, 1);
  Store store;
  core::TimePoint now(seconds(1000));
  {
    Host writer(&store, &now, true);
    writer.suspects.RecordCrash(1, {harmful, {.content = 901, .parts = {}}},
                                now);
    now += seconds(1);
    writer.suspects.RecordCrash(2, {harmful}, now);
    REQUIRE(writer.suspects.IsRefused(harmful, now));
    RunFor(writer, writer_rank, seconds(4));
  }
  Host reader(&store, &now);
  RunFor(reader, 2, seconds(1));
  CHECK(reader.suspects.IsRefused(harmful, now));
  CHECK(!reader.suspects.IsRefused({.content = 901, .parts = {}}, now));
  CHECK(!reader.suspects.IsRefused({.content = 902, .parts = {}}, now));
  reader.suspects.RecordCompletion(harmful, now);
  CHECK(!reader.suspects.IsRefused(harmful, now));
}

// The record of a build that knows parts only.
struct OldRecord {
  std::vector<PartBlame> blames;

  MSGPACK_DEFINE(blames);
};

TEST_CASE("the record is read by builds that know parts only, and theirs") {
  const std::vector<PartBlame> blames = {{.parts = {kHarmful},
                                          .crash_ids = {1, 2, 3},
                                          .ages_milliseconds = {0, 500, 1000}}};
  const BlameRecord record{
      blames,
      {{.content = 900, .crash_ids = {1, 2}, .ages_milliseconds = {0, 9}}}};
  CHECK(core::Decode<OldRecord>(core::Encode(record))->blames == blames);
  const auto old = core::Decode<BlameRecord>(core::Encode(OldRecord{blames}));
  REQUIRE(old.ok());
  CHECK(old->blames == blames);
  CHECK(old->contents.empty());
}

struct RestartCase {
  const char* what;
  // The rank of the host that saw the crashes, and of the one that reads.
  size_t writer;
  size_t reader;
  // What happens before the kill, to the host and to the record, and after it.
  std::function<void(Host& host)> before;
  std::function<void(Store& store)> meanwhile;
  std::function<void(Host& host)> after;
  bool is_refused;
};

TEST_CASE("a host that starts refuses what the fleet refused before") {
  const auto nothing = [](Host& /*host*/) {};
  const auto kept = [](Store& /*store*/) {};
  const RestartCase cases[] = {
      {"the first host wrote", 0, 0, nothing, kept, nothing, true},
      {"read by a later host", 0, 2, nothing, kept, nothing, true},
      {"the first host was away", 1, 0, nothing, kept, nothing, true},
      {"no keeper saw it", 3, 0, nothing, kept, nothing, false},
      {"no keeper started", 0, 3, nothing, kept, nothing, false},
      {"the part completed before the kill", 0, 0,
       [](Host& it) {
         it.suspects.RecordCompletion(it.Harmful(400), *it.now);
         RunFor(it, 0, seconds(3));
       },
       kept, nothing, false},
      {"the part completed after the start", 0, 0, nothing, kept,
       [](Host& it) { it.suspects.RecordCompletion(it.Harmful(400), *it.now); },
       false},
      {"its crashes expired before the kill", 0, 0,
       [](Host& it) { RunFor(it, 0, seconds(190)); }, kept, nothing, false},
      {"its crashes expired after the start", 0, 0, nothing, kept,
       [](Host& it) { RunFor(it, 0, seconds(190)); }, false},
      {"the store was away while they crashed", 0, 0,
       [](Host& it) {
         it.store->is_down = false;
         RunFor(it, 0, seconds(3));
       },
       kept, nothing, true},
      {"another writer's record", 0, 0, nothing,
       [](Store& it) { it.value = "odd"; }, nothing, false},
      {"a record of lists that do not match", 0, 0, nothing,
       [](Store& it) {
         it.value = core::Encode(BlameRecord{{{.parts = {kHarmful},
                                               .crash_ids = {1, 2, 3},
                                               .ages_milliseconds = {}}}});
       },
       nothing, false},
      {"a record without parts", 0, 0, nothing,
       [](Store& it) {
         it.value = core::Encode(BlameRecord{
             {{.parts = {}, .crash_ids = {1}, .ages_milliseconds = {0}}}});
       },
       nothing, false},
      {"a record with negative ages", 0, 0, nothing,
       [](Store& it) {
         it.value = core::Encode(
             BlameRecord{{{.parts = {kHarmful},
                           .crash_ids = {1, 2, 3},
                           .ages_milliseconds = {-1000, -2000, INT64_MIN}}}});
       },
       [](Host& it) { RunFor(it, 0, seconds(190)); }, false},
  };
  for (const RestartCase& row : cases) {
    INFO(row.what);
    Store store;
    core::TimePoint now(seconds(1000));
    {
      Host host(&store, &now, true);
      store.is_down =
          row.what == std::string("the store was away while they crashed");
      host.Crash();
      REQUIRE(host.Refuses());
      RunFor(host, row.writer, seconds(4));
      row.before(host);
    }
    row.meanwhile(store);
    Host host(&store, &now);
    RunFor(host, row.reader, milliseconds(200));
    row.after(host);
    CHECK(host.Refuses() == row.is_refused);
    // What shares the other part is served.
    CHECK(!host.suspects.IsRefused({.content = 500, .parts = {1}}, now));
  }
}

TEST_CASE("a store that is away at the start is read when it is back") {
  Store store;
  core::TimePoint now(seconds(1000));
  {
    Host host(&store, &now, true);
    host.Crash();
    RunFor(host, 0, seconds(1));
  }
  Host host(&store, &now);
  store.is_down = true;
  RunFor(host, 0, seconds(5));
  CHECK(!host.Refuses());
  CHECK(store.reads <= 6);
  store.is_down = false;
  RunFor(host, 0, seconds(2));
  CHECK(host.Refuses());
}

TEST_CASE("restarts do not keep a part refused for ever") {
  constexpr int kMaxRestarts = 18;
  Store store;
  core::TimePoint now(seconds(1000));
  {
    Host host(&store, &now, true);
    host.Crash();
    RunFor(host, 0, seconds(1));
  }
  int restarts = 0;
  bool is_refused = true;
  while (is_refused && restarts <= kMaxRestarts) {
    Host host(&store, &now);
    RunFor(host, 0, seconds(2));
    is_refused = host.Refuses();
    ++restarts;
  }
  CHECK(restarts <= kMaxRestarts);
}

TEST_CASE("calls to the platform are few") {
  constexpr size_t kMaxBytes = 800;
  Store store;
  core::TimePoint now(seconds(1000));
  Host host(&store, &now);
  RunFor(host, 0, seconds(600));
  // Nothing crashes: one read at the start.
  CHECK(store.reads == 1);
  CHECK(store.writes == 0);
  host.Crash();
  RunFor(host, 0, seconds(240));
  // One write when the part is refused, one each 30 s, and one at the end.
  CHECK(store.writes >= 3);
  CHECK(store.writes <= 8);
  CHECK(store.reads == 1);
  CHECK(store.written_bytes <= kMaxBytes);
  const int writes = store.writes;
  RunFor(host, 0, seconds(600));
  CHECK(store.writes == writes);
  // A host that takes over, and a restored store, need a read each.
  RunFor(host, 1, seconds(1));
  RunFor(host, 0, seconds(1));
  store.epoch = 2;
  RunFor(host, 0, seconds(1));
  CHECK(store.reads == 3);
  CHECK(store.writes == writes);
}

}  // namespace
}  // namespace wasabi::forwarding
