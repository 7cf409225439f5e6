#include "LibForwarding/crash_suspects.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <span>
#include <vector>

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{seconds(100)};
constexpr uint64_t kHarmful = 1;
constexpr uint64_t kShared = 2;
constexpr uint64_t kOther = 3;
constexpr uint64_t kKnown = 4;

// Returns a request whose content no other request has.
RequestFingerprint NewRequest(std::vector<uint64_t> parts) {
  static uint64_t content = 1000;
  return {.content = ++content, .parts = std::move(parts)};
}

// What happens one second after what happened before.
struct Step {
  enum class What : uint8_t { kCrash, kCompletion };
  What what;
  // The parts of each request in flight, or of the one that completes.
  std::vector<std::vector<uint64_t>> requests;
};

constexpr auto kCrash = Step::What::kCrash;
constexpr auto kCompletion = Step::What::kCompletion;

void Play(const std::vector<Step>& steps,
          CrashSuspects& suspects,
          core::TimePoint& now) {
  uint64_t crash_id = 0;
  for (const Step& step : steps) {
    now += seconds(1);
    std::vector<RequestFingerprint> requests;
    for (const std::vector<uint64_t>& it : step.requests) {
      requests.push_back(NewRequest(it));
    }
    if (step.what == kCrash) {
      suspects.RecordCrash(++crash_id, requests, now);
    } else {
      suspects.RecordCompletion(requests.front(), now);
    }
  }
}

struct BlameCase {
  const char* what;
  std::vector<Step> steps;
  // Parts of requests that are refused afterwards, and of some that are not.
  std::vector<std::vector<uint64_t>> refused;
  std::vector<std::vector<uint64_t>> allowed;
};

void CheckBlame(std::span<const BlameCase> cases) {
  for (const BlameCase& row : cases) {
    INFO(row.what);
    CrashSuspects suspects;
    core::TimePoint now = kStart;
    Play(row.steps, suspects, now);
    for (const auto& it : row.refused) {
      INFO("refused, parts: " << it.size());
      CHECK(suspects.IsRefused(NewRequest(it), now));
    }
    for (const auto& it : row.allowed) {
      INFO("allowed, parts: " << it.size());
      CHECK_FALSE(suspects.IsRefused(NewRequest(it), now));
    }
  }
}

TEST_CASE("the part that explains the crashes is refused, and no other") {
  const std::vector<uint64_t> harmful = {kHarmful, kShared};
  const Step crash{kCrash, {harmful}};
  const Step shared_completes{kCompletion, {{kShared, kOther}}};
  const BlameCase cases[] = {
      {"two crashes are too few", {crash, crash}, {}, {harmful}},
      {"the shared part completes in between",
       {crash, crash, shared_completes, crash},
       {harmful, {kHarmful}, {kHarmful, kOther}},
       {{kShared}, {kShared, kOther}, {}}},
      {"nothing tells the parts apart",
       {crash, crash, crash},
       {harmful, {kHarmful, kShared, kOther}},
       {{kShared}, {kHarmful}, {kOther}}},
      {"a crash with one of two parts tells them apart",
       {crash, crash, crash, {kCrash, {{kHarmful, kOther}}}},
       {harmful, {kHarmful}, {kHarmful, kOther}},
       {{kShared}, {kShared, kOther}}},
      {"bystanders at every crash that complete elsewhere",
       {{kCrash, {harmful, {kOther}}},
        {kCompletion, {{kOther}}},
        {kCrash, {harmful, {kOther}}},
        {kCompletion, {{kOther}}},
        {kCrash, {harmful, {kOther}}}},
       {harmful},
       {{kOther}, {kShared, kOther}}},
      {"several harmful requests lost in one crash",
       {{kCrash, {harmful, {kHarmful, kOther}, {kOther}}},
        {kCrash, {harmful, harmful}},
        shared_completes,
        {kCrash, {{kHarmful, kOther}, {kShared}}}},
       {harmful, {kHarmful}},
       {{kShared}, {kOther}, {kShared, kOther}}},
      {"a bystander of three crashes is explained by the harmful part",
       {{kCrash, {harmful, {kOther}}},
        {kCrash, {harmful, {kOther}}},
        {kCrash, {harmful, {kOther}}},
        shared_completes,
        {kCrash, {harmful}}},
       {harmful},
       {{kOther}, {kShared}}},
      {"a part that has completed since",
       {crash, crash, crash, {kCompletion, {harmful}}},
       {},
       {harmful, {kHarmful}, {kShared}}},
      {"two harmful parts",
       {{kCrash, {{kHarmful}}},
        {kCrash, {{kOther}}},
        {kCrash, {{kHarmful}}},
        {kCrash, {{kOther}}},
        {kCrash, {{kHarmful}}},
        {kCrash, {{kOther}}}},
       {{kHarmful}, {kOther, kShared}},
       {{kShared}}},
      {"prompts without shared parts",
       {{kCrash, {{}}}, {kCrash, {{}}}, {kCrash, {{}}}},
       {},
       {{}, {kShared}}},
  };
  CheckBlame(cases);
}

// Guards against a sound part that is refused, and can no longer complete,
// since it was in flight at the crashes of several harmful parts in succession.
TEST_CASE("parts that never complete explain crashes before known parts") {
  const Step known_completes{kCompletion, {{kKnown}}};
  const auto crash_by = [](uint64_t harmful) -> Step {
    return {kCrash, {{harmful, kShared}, {kKnown}}};
  };
  const auto crash_of_known = [](uint64_t own) -> Step {
    return {kCrash, {{kKnown, own}}};
  };
  const BlameCase cases[] = {
      {"three harmful parts below the threshold",
       {known_completes,
        crash_by(11),
        crash_by(11),
        crash_by(12),
        crash_by(12),
        {kCompletion, {{kShared}}},
        crash_by(13),
        crash_by(13)},
       {},
       {{kKnown}, {kKnown, kOther}, {11}, {12}, {13}}},
      {"two harmful parts at the threshold",
       {known_completes,
        crash_by(11),
        crash_by(11),
        crash_by(11),
        {kCompletion, {{kShared}}},
        crash_by(12),
        crash_by(12),
        crash_by(12),
        {kCompletion, {{kShared}}}},
       {{11}, {12}, {11, kKnown}},
       {{kKnown}, {kKnown, kShared}}},
      {"harmful parts at and below the threshold, and crashes by others",
       {known_completes,
        crash_by(11),
        crash_by(11),
        crash_by(11),
        {kCompletion, {{kShared}}},
        crash_by(12),
        crash_by(12),
        {kCompletion, {{kShared}}},
        {kCrash, {{kKnown}}},
        {kCrash, {{kKnown}}},
        {kCrash, {{kKnown}}}},
       {{11}},
       {{kKnown}, {12}}},
      {"a known part that became harmful, with parts of no other request",
       {known_completes, crash_of_known(21), crash_of_known(22),
        crash_of_known(23), crash_of_known(24), crash_of_known(25)},
       {{kKnown}, {kKnown, kOther}},
       {{21}, {25}}},
  };
  CheckBlame(cases);
}

TEST_CASE("a request that is sent again does not excuse a known part") {
  CrashSuspects suspects;
  core::TimePoint now = kStart;
  Play({{kCompletion, {{kKnown}}}}, suspects, now);
  for (size_t i = 1; i <= 5; ++i) {
    // The second part is that of one request, which is sent twice.
    const RequestFingerprint request = {.content = (i + 1) / 2,
                                        .parts = {kKnown, 20 + (i + 1) / 2}};
    now += seconds(1);
    suspects.RecordCrash(i, {request}, now);
    INFO(i << " crashes");
    CHECK(suspects.IsRefused(NewRequest({kKnown}), now) == (i >= 5));
  }
}

TEST_CASE("a part that often completes needs more evidence") {
  CrashSuspects suspects;
  core::TimePoint now = kStart;
  Play({{kCompletion, {{kShared}}}}, suspects, now);
  for (size_t i = 1; i <= 5; ++i) {
    now += seconds(1);
    suspects.RecordCrash(i, {NewRequest({kShared})}, now);
    INFO(i << " crashes");
    CHECK(suspects.IsRefused(NewRequest({kShared}), now) == (i >= 5));
  }
}

TEST_CASE("endpoints that are lost together are one crash for a part") {
  CrashSuspects suspects;
  for (size_t i = 1; i <= 6; ++i) {
    suspects.RecordCrash(i, {NewRequest({kShared})},
                         kStart + milliseconds(10) * i);
  }
  CHECK_FALSE(suspects.IsRefused(NewRequest({kShared}), kStart + seconds(1)));
}

// Bursts of requests with one harmful part, no two alike.
struct BurstCase {
  const char* what;
  size_t requests;
  // Endpoints that the requests of a burst are spread over.
  size_t endpoints;
  // Time in which a request crashes its endpoint, after which it is sent again.
  core::Duration time_to_crash;
};

class BurstPlay {
 public:
  explicit BurstPlay(const BurstCase& row) : row_(row) {}

  // Sends each request once, and again when its endpoint has crashed.
  void SendBurst(core::TimePoint now) {
    std::vector<RequestFingerprint> requests;
    for (size_t i = 0; i < row_.requests; ++i) {
      requests.push_back(NewRequest({kHarmful, kShared}));
    }
    Send(requests, now);
    Send(requests, now + row_.time_to_crash);
  }

  // Returns the number of requests that were sent later than three seconds
  // after the fifth crash.
  size_t late_arrivals() const {
    return std::count_if(
        arrivals_.begin(), arrivals_.end(), [this](core::TimePoint it) {
          return crashes_.size() >= 5 && it > crashes_[4] + seconds(3);
        });
  }
  CrashSuspects& suspects() { return suspects_; }

 private:
  void Send(const std::vector<RequestFingerprint>& requests,
            core::TimePoint now) {
    std::vector<std::vector<RequestFingerprint>> in_flight(row_.endpoints);
    for (size_t i = 0; i < requests.size(); ++i) {
      if (!suspects_.IsRefused(requests[i], now)) {
        arrivals_.push_back(now);
        in_flight[i % row_.endpoints].push_back(requests[i]);
      }
    }
    for (const auto& it : in_flight) {
      if (!it.empty()) {
        crashes_.push_back(now + row_.time_to_crash);
        suspects_.RecordCrash(crashes_.size(), it, crashes_.back());
      }
    }
  }

  const BurstCase row_;
  CrashSuspects suspects_;
  std::vector<core::TimePoint> crashes_;
  std::vector<core::TimePoint> arrivals_;
};

// Guards against bursts whose crashes count as one and which therefore come
// through again and again.
TEST_CASE("requests of a burst that are sent again crash endpoints apart") {
  const BurstCase cases[] = {
      {"one request", 1, 1, milliseconds(100)},
      {"three at one endpoint", 3, 1, milliseconds(100)},
      {"three at two endpoints", 3, 2, milliseconds(100)},
      {"three at three endpoints", 3, 3, milliseconds(100)},
      {"six at three endpoints, at once", 6, 3, milliseconds(20)},
  };
  for (const BurstCase& row : cases) {
    INFO(row.what);
    BurstPlay play(row);
    core::TimePoint now = kStart;
    for (int burst = 0; burst < 4; ++burst) {
      play.SendBurst(now);
      play.suspects().RecordCompletion(NewRequest({kShared}), now + seconds(2));
      now += seconds(5);
    }
    CHECK(play.late_arrivals() <= 3);
    CHECK(play.suspects().IsRefused(NewRequest({kHarmful}), now));
    CHECK_FALSE(play.suspects().IsRefused(NewRequest({kShared, kOther}), now));
  }
}

TEST_CASE("a content is refused after two crashes, and its parts are not") {
  CrashSuspects suspects;
  const RequestFingerprint repeated = NewRequest({kShared, kOther});
  suspects.RecordCrash(1, {repeated}, kStart);
  CHECK_FALSE(suspects.IsRefused(repeated, kStart));
  for (size_t i = 2; i <= 4; ++i) {
    suspects.RecordCrash(i, {repeated}, kStart + seconds(i));
    CHECK(suspects.IsRefused(repeated, kStart + seconds(i)));
    CHECK_FALSE(
        suspects.IsRefused(NewRequest({kShared, kOther}), kStart + seconds(i)));
  }
}

TEST_CASE("a content that callers ask for often survives two lost endpoints") {
  CrashSuspects suspects;
  const RequestFingerprint popular = NewRequest({});
  suspects.RecordCompletion(popular, kStart);
  suspects.RecordCrash(1, {popular}, kStart + milliseconds(500));
  suspects.RecordCrash(2, {popular}, kStart + milliseconds(510));
  CHECK_FALSE(suspects.IsRefused(popular, kStart + seconds(1)));
}

TEST_CASE("crashes expire") {
  const CrashSuspectsPolicy policy;
  CrashSuspects suspects(policy);
  core::TimePoint now = kStart;
  const Step crash{kCrash, {{kHarmful}}};
  Play({crash, crash, crash}, suspects, now);
  const core::TimePoint first_expires = kStart + seconds(1) + policy.lifetime;
  suspects.Expire(first_expires - milliseconds(1));
  CHECK(suspects.IsRefused(NewRequest({kHarmful}), now));
  suspects.Expire(first_expires);
  CHECK_FALSE(suspects.IsRefused(NewRequest({kHarmful}), now));
  suspects.Expire(now + policy.lifetime);
  CHECK(suspects.crash_count() == 0);
  // A report of what has expired changes nothing.
  suspects.MergeReport(
      {.crash_id = 9,
       .age_milliseconds = core::ToMilliseconds(policy.lifetime),
       .in_flight = {.contents = {}, .parts = {kHarmful}},
       .cleared = {}},
      false, now + policy.lifetime);
  CHECK(suspects.crash_count() == 0);
}

TEST_CASE("memory is bounded, and what matters is kept") {
  const CrashSuspectsPolicy policy{.max_crashes = 8, .max_suspects = 16};
  CrashSuspects suspects(policy);
  for (size_t i = 0; i < 100; ++i) {
    std::vector<RequestFingerprint> requests = {NewRequest({kHarmful})};
    for (uint64_t n = 0; n < 50; ++n) {
      requests.push_back(NewRequest({1000 + i * 50 + n}));
    }
    suspects.RecordCrash(i, requests, kStart + seconds(i));
    CHECK(suspects.crash_count() <= policy.max_crashes);
  }
  for (const CrashReport& it : suspects.TakeChanges(kStart + seconds(100))) {
    CHECK(it.in_flight.size() <= policy.max_suspects);
  }
  CHECK(suspects.IsRefused(NewRequest({kHarmful}), kStart + seconds(100)));
}

TEST_CASE("reports may arrive late, repeatedly and out of order") {
  CrashSuspects first;
  CrashSuspects second;
  core::TimePoint now = kStart;
  std::vector<CrashReport> reports;
  const auto report = [&]() {
    for (const CrashReport& it : first.TakeChanges(now)) {
      reports.push_back(it);
    }
  };
  for (size_t i = 1; i <= 3; ++i) {
    now += seconds(1);
    first.RecordCrash(i, {NewRequest({kHarmful, kShared})}, now);
    report();
  }
  first.RecordCompletion(NewRequest({kShared}), now);
  report();
  // The clearing of a suspect arrives before the suspect itself.
  for (int round = 0; round < 2; ++round) {
    for (auto it = reports.rbegin(); it != reports.rend(); ++it) {
      second.MergeReport(*it, false, now);
    }
  }
  CHECK(second.IsRefused(NewRequest({kHarmful}), now));
  CHECK_FALSE(second.IsRefused(NewRequest({kShared}), now));
  // Others hear only what the sender did not know when it named a suspect.
  for (const CrashReport& it : second.TakeChanges(now)) {
    CHECK(it.in_flight.size() == 0);
    CHECK(it.cleared.parts == std::vector<uint64_t>{kShared});
  }
}

}  // namespace
}  // namespace wasabi::forwarding
