#include "LibLedger/partition_controller.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "LibCore/result_code.h"
#include "Tests/LibLedger/ledger_simulation.h"

namespace wasabi::ledger {
namespace {

using core::ResultCode;

constexpr core::Duration kDeadline = core::seconds(20);

// A started simulation whose controllers are open and have seen no recent
// records of another writer.
struct Fixture : LedgerSimulation {
  explicit Fixture(size_t hosts) : LedgerSimulation(hosts, 1) {
    Start();
    RunFor(core::seconds(1));
  }
};

TEST_CASE("a call runs once and retries with its key get the same answer") {
  Fixture it(1);
  const size_t first = it.Submit(0, "key", kDeadline);
  const size_t at_once = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  const size_t later = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  for (const size_t i : {first, at_once, later}) {
    CHECK(it.CodeOf(i) == ResultCode::kOk);
    CHECK(it.submissions()[i].outcome->body == AnswerBody("key"));
  }
  CHECK(it.ExecutionsOf("key") == 1);
}

TEST_CASE(
    "over the rate limit, a new key is refused and a known key is answered") {
  Fixture it(1);
  const size_t known = it.Submit(0, "known", kDeadline);
  const size_t joining = it.Submit(0, "known", kDeadline, "", true);
  it.RunFor(core::seconds(1));
  const size_t later = it.Submit(0, "known", kDeadline, "", true);
  const size_t fresh = it.Submit(0, "fresh", kDeadline, "", true);
  it.RunFor(core::seconds(1));
  for (const size_t i : {known, joining, later}) {
    CHECK(it.CodeOf(i) == ResultCode::kOk);
  }
  CHECK(it.CodeOf(fresh) == ResultCode::kOrganisationLimit);
  CHECK(it.ExecutionsOf("known") == 1);
  CHECK(it.ExecutionsOf("fresh") == 0);
}

TEST_CASE(
    "a key that is reused with different content is refused at every stage") {
  Fixture it(2);
  it.Submit(0, "key", kDeadline, "content");
  const size_t joining = it.Submit(0, "key", kDeadline, "other");
  it.RunFor(core::seconds(1));
  const size_t later = it.Submit(0, "key", kDeadline, "other");
  const size_t elsewhere = it.Submit(1, "key", kDeadline, "other");
  it.RunFor(core::seconds(1));
  CHECK(it.CodeOf(joining) == ResultCode::kKeyReused);
  CHECK(it.CodeOf(later) == ResultCode::kKeyReused);
  CHECK(it.CodeOf(elsewhere) == ResultCode::kKeyReused);
  CHECK(it.ExecutionsOf("key") == 1);
}

TEST_CASE(
    "if two owners get different content for one key, only one call runs") {
  Fixture it(2);
  const size_t first = it.Submit(0, "key", kDeadline, "content");
  const size_t second = it.Submit(1, "key", kDeadline, "other");
  it.RunFor(core::seconds(2));
  const std::set<ResultCode> codes = {it.CodeOf(first), it.CodeOf(second)};
  CHECK(codes == std::set<ResultCode>{ResultCode::kOk, ResultCode::kKeyReused});
  CHECK(it.ExecutionsOf("key") == 1);
}

TEST_CASE("two owners run a key once and give the same answer") {
  Fixture it(2);
  const size_t first = it.Submit(0, "key", kDeadline);
  const size_t second = it.Submit(1, "key", kDeadline);
  it.RunFor(core::seconds(2));
  CHECK(it.CodeOf(first) == ResultCode::kOk);
  CHECK(it.CodeOf(second) == ResultCode::kOk);
  CHECK(it.ExecutionsOf("key") == 1);
}

TEST_CASE("a new call is refused immediately during a log outage") {
  Fixture it(1);
  it.log().faults().is_outage = true;
  it.RunFor(core::seconds(10));
  const size_t refused = it.Submit(0, "key", kDeadline);
  it.RunFor(core::milliseconds(10));
  REQUIRE(it.CodeOf(refused) == ResultCode::kPlatformUnavailable);
  CHECK(it.submissions()[refused].outcome->retry_after_ms > 0);
  it.log().faults().is_outage = false;
  it.RunFor(core::seconds(10));
  CHECK(it.ExecutionsOf("key") == 0);
  const size_t resent = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(2));
  CHECK(it.CodeOf(resent) == ResultCode::kOk);
}

TEST_CASE(
    "a host that has not read the ledger answers unknown with a retry time") {
  LedgerSimulation it(1, 1);
  it.log().faults().is_outage = true;
  it.Start();
  it.RunFor(core::seconds(1));
  const size_t call = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(3));
  REQUIRE(it.CodeOf(call) == ResultCode::kOutcomeUnknown);
  CHECK(it.submissions()[call].outcome->retry_after_ms > 0);
}

TEST_CASE("an intent append without an answer is resolved by a void record") {
  Fixture it(1);
  it.log().faults().lose_request = 1;
  const size_t call = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(10));
  CHECK(it.CodeOf(call) == ResultCode::kOutcomeUnknown);
  it.log().faults().lose_request = 0;
  it.RunFor(core::seconds(10));
  const size_t resent = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  CHECK(it.CodeOf(resent) == ResultCode::kNotRun);
  CHECK(it.ExecutionsOf("key") == 0);
}

TEST_CASE(
    "a crash between intent and outcome record makes the outcome unknown") {
  Fixture it(2);
  it.endpoint().faults().hang = 1;
  it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  it.Restart(0);
  it.endpoint().faults().hang = 0;
  const size_t early = it.Submit(1, "key", core::seconds(5));
  const size_t patient = it.Submit(1, "key", core::seconds(60));
  it.RunFor(core::seconds(60));
  CHECK(it.CodeOf(early) == ResultCode::kDeadlineExceeded);
  CHECK(it.CodeOf(patient) == ResultCode::kOutcomeUnknown);
  const size_t resent = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  CHECK(it.CodeOf(resent) == ResultCode::kOutcomeUnknown);
  CHECK(it.submissions()[resent].outcome->retry_after_ms == 0);
  CHECK(it.ExecutionsOf("key") == 1);
}

TEST_CASE(
    "an owner paused before its intent is read back does not run the call") {
  Fixture it(2);
  it.Submit(0, "key", core::seconds(60));
  it.RunFor(core::milliseconds(2));
  it.Pause(0);
  it.RunFor(core::seconds(10));
  const size_t resent = it.Submit(1, "key", core::seconds(60));
  it.RunFor(core::seconds(1));
  it.Resume(0);
  it.RunFor(core::seconds(30));
  CHECK(it.ExecutionsOf("key") == 0);
  CHECK(it.CodeOf(resent) == ResultCode::kNotRun);
}

TEST_CASE("an answer is returned even if its record cannot be appended") {
  Fixture it(1);
  const size_t call = it.Submit(0, "key", kDeadline);
  while (it.ExecutionsOf("key") == 0) {
    it.RunFor(core::milliseconds(1));
  }
  it.log().faults().is_outage = true;
  it.RunFor(core::seconds(5));
  CHECK(it.CodeOf(call) == ResultCode::kOk);
  it.log().faults().is_outage = false;
  it.RunFor(core::seconds(10));
  it.Restart(0);
  const size_t resent = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  CHECK(it.CodeOf(resent) == ResultCode::kOk);
  CHECK(it.ExecutionsOf("key") == 1);
}

struct Refusal {
  std::string name;
  core::Duration deadline;
  size_t max_queued;
  size_t max_body_bytes;
  ResultCode expected;
};

TEST_CASE("a call that is refused before its intent is sent does not run") {
  const auto refusal = GENERATE(values<Refusal>({
      {"late", core::Duration::zero(), 10, 100, ResultCode::kDeadlineTooShort},
      {"full", kDeadline, 0, 100, ResultCode::kOverloaded},
      // The rate limit delays the second group by 100 ms, so the call is still
      // queued at its deadline.
      {"queued", core::milliseconds(50), 10, 100,
       ResultCode::kDeadlineTooShort},
      {"large", kDeadline, 10, 3, ResultCode::kOverloaded},
  }));
  CAPTURE(refusal.name);
  LedgerSimulation it(1, 1);
  it.options().max_queued = refusal.max_queued;
  it.options().max_body_bytes = refusal.max_body_bytes;
  it.options().append_burst = 1;
  it.Start();
  it.RunFor(core::seconds(1));
  it.Submit(0, "first", kDeadline);
  it.RunFor(core::milliseconds(10));
  const size_t call = it.Submit(0, "key", refusal.deadline, "body");
  it.RunFor(core::seconds(10));
  CHECK(it.CodeOf(call) == refusal.expected);
  CHECK(it.ExecutionsOf("key") == 0);
}

TEST_CASE("closing completes the calls in progress") {
  Fixture it(1);
  const size_t call = it.Submit(0, "key", kDeadline);
  it.RunFor(core::milliseconds(1));
  bool is_closed = false;
  it.controller(0).Close([&] { is_closed = true; });
  const size_t refused = it.Submit(0, "other", kDeadline);
  it.RunFor(core::seconds(2));
  CHECK(is_closed);
  CHECK(it.CodeOf(call) == ResultCode::kOk);
  CHECK(it.CodeOf(refused) == ResultCode::kWrongOwner);
}

TEST_CASE("a large answer is returned in full and recorded without its body") {
  LedgerSimulation it(1, 1);
  it.options().max_result_bytes = 3;
  it.Start();
  it.RunFor(core::seconds(1));
  const size_t call = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  const size_t resent = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  CHECK(it.submissions()[call].outcome->body == AnswerBody("key"));
  CHECK(it.submissions()[resent].outcome->body.empty());
  CHECK_FALSE(it.submissions()[resent].outcome->is_body_recorded);
}

TEST_CASE("a key that is older than the retained records does not run") {
  LedgerSimulation it(1, 1);
  // A version 7 UUID that was created 1 s after the virtual clock's epoch.
  const std::string key = "00000000-03e8-7000-8000-000000000001";
  it.Start();
  it.RunFor(core::seconds(60));
  it.Submit(0, key, kDeadline);
  it.Submit(0, "late", kDeadline);
  it.RunFor(core::seconds(1));
  it.Submit(0, "later", kDeadline);
  it.RunFor(core::seconds(1));
  REQUIRE(it.ExecutionsOf(key) == 1);
  const std::string stream = StreamOf(0);
  it.log().store().TrimBefore(stream,
                              it.log().store().Bounds(stream, 0).end - 1);
  it.Restart(0);
  it.RunFor(core::seconds(1));
  const size_t resent = it.Submit(0, key, kDeadline);
  it.RunFor(core::seconds(1));
  CHECK(it.CodeOf(resent) == ResultCode::kOutcomeUnknown);
  CHECK(it.ExecutionsOf(key) == 1);
}

TEST_CASE("records older than the key lifetime are skipped in a long stream") {
  LedgerSimulation it(1, 1);
  it.options().key_lifetime = core::seconds(600);
  // Large enough that the expired groups alone exceed the size of a stream that
  // is read without a search.
  constexpr int64_t kGroups = 20000;
  it.RunFor(core::seconds(2 * kGroups));
  const std::string stream = StreamOf(0);
  for (int64_t i = 0; i < kGroups; ++i) {
    const LedgerGroup group{{99, static_cast<uint64_t>(i + 1)}, i * 2000, {}};
    it.log().store().Append(stream, EncodeGroup(group));
  }
  const uint64_t reads_before = it.log().reads();
  it.Start();
  it.RunFor(core::seconds(5));
  CHECK(it.controller(0).is_open());
  // 320 groups are within the key lifetime. The search leaves at most 1,000
  // older groups, and a page contains 100 groups.
  CHECK(it.log().reads() - reads_before < 40);
  CHECK(it.controller(0).state().complete_since_ms() > 0);
  CHECK(it.controller(0).state().complete_since_ms() <=
        (2 * kGroups - 600) * 1000);
}

TEST_CASE("records that cannot be decoded are skipped") {
  LedgerSimulation it(1, 1);
  const std::string stream = StreamOf(0);
  for (const std::string body : {"", "text", "AAAA", "{}"}) {
    it.log().store().Append(stream, body);
  }
  it.Start();
  it.RunFor(core::seconds(1));
  const size_t call = it.Submit(0, "key", kDeadline);
  it.RunFor(core::seconds(1));
  CHECK(it.CodeOf(call) == ResultCode::kOk);
}

TEST_CASE("simultaneous calls share appends") {
  Fixture it(1);
  constexpr int kCalls = 400;
  const uint64_t before = it.log().appends();
  for (int i = 0; i < kCalls; ++i) {
    it.Submit(0, "key-" + std::to_string(i), kDeadline);
  }
  it.RunFor(core::seconds(1));
  CHECK(it.log().appends() - before <= 10);
  for (int i = 0; i < kCalls; ++i) {
    REQUIRE(it.CodeOf(i) == ResultCode::kOk);
  }
}

}  // namespace
}  // namespace wasabi::ledger
