#include "LibRouting/runner_admission.h"

#include <catch2/catch.hpp>
#include <string>

namespace wasabi::routing {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{std::chrono::hours(1)};

// Returns a later turn of a chat, with a prefix whose cold prefill takes half a
// second.
WorkItem MakeItem(const std::string& name) {
  WorkItem item;
  item.request = core::RequestId(name);
  item.organisation = core::OrganisationId("salazar");
  item.chat = core::ChatKey("chat-" + name);
  item.size = {4500, 4000, 100};
  item.deadline = kStart + seconds(60);
  return item;
}

// Returns the pool demand of nine runners with equal demand.
PoolDemand Uniform(double mean_requests, double mean_tokens = 1e9) {
  constexpr uint32_t kRunners = 9;
  return {kRunners, mean_requests * kRunners, mean_tokens * kRunners};
}

// An admission whose runner initially runs `count` requests, with the ids
// "running-N".
class LoadedRunner {
 public:
  explicit LoadedRunner(int count, const AdmissionPolicy& policy = {})
      : admission_(core::RunnerId("runner-0"), policy) {
    for (int i = 0; i < count; ++i) {
      const WorkItem item = MakeItem("running-" + std::to_string(i));
      REQUIRE(admission_.Offer(item, {}, kStart).verdict == Verdict::kRun);
    }
  }

  Verdict Offer(const WorkItem& item, const PoolDemand& pool) {
    return admission_.Offer(item, pool, kStart).verdict;
  }
  RunnerAdmission& operator*() { return admission_; }
  RunnerAdmission* operator->() { return &admission_; }

 private:
  RunnerAdmission admission_;
};

struct CapRow {
  const char* name;
  int running;
  double mean_requests;
  double mean_tokens;
  bool is_last_choice;
  Verdict expected;
};

TEST_CASE("the cap is ceil(bound × mean) requests and bound × mean tokens") {
  const auto row = GENERATE(
      CapRow{"idle, nothing known", 0, 0, 0, false, Verdict::kRun},
      CapRow{"idle at mean zero", 0, 0, 0, true, Verdict::kRun},
      CapRow{"1 of ceil(1.25 × 0.5)", 1, 0.5, 1e9, false, Verdict::kTryNext},
      CapRow{"3 of ceil(1.25 × 3)", 3, 3, 1e9, false, Verdict::kRun},
      CapRow{"4 of ceil(1.25 × 3)", 4, 3, 1e9, false, Verdict::kTryNext},
      CapRow{"4 of 1.25 × 3.2 exactly", 4, 3.2, 1e9, false, Verdict::kTryNext},
      CapRow{"last choice waits", 4, 3, 1e9, true, Verdict::kWait},
      CapRow{"tokens below", 2, 9, 961, false, Verdict::kRun},
      CapRow{"tokens reached", 2, 9, 960, false, Verdict::kTryNext},
      CapRow{"max_running, a place soon", 64, 100, 1e9, false, Verdict::kWait});
  CAPTURE(row.name);
  LoadedRunner runner(row.running);
  WorkItem item = MakeItem("new");
  item.is_last_choice = row.is_last_choice;
  CHECK(runner.Offer(item, Uniform(row.mean_requests, row.mean_tokens)) ==
        row.expected);
}

TEST_CASE("the minimum cap applies at any mean, up to max_running") {
  AdmissionPolicy policy;
  policy.minimum_cap = 4;
  policy.max_running = 6;
  LoadedRunner runner(3, policy);
  CHECK(runner.Offer(MakeItem("fourth"), Uniform(0.1, 1)) == Verdict::kRun);
  CHECK(runner.Offer(MakeItem("fifth"), Uniform(0.1, 1)) == Verdict::kTryNext);
  policy.minimum_cap = 100;
  runner->SetPolicy(policy);
  CHECK(runner.Offer(MakeItem("fifth"), Uniform(0.1, 1)) == Verdict::kRun);
  CHECK(runner.Offer(MakeItem("sixth"), Uniform(0.1, 1)) == Verdict::kRun);
  CHECK(runner.Offer(MakeItem("seventh"), Uniform(0.1, 1)) != Verdict::kRun);
}

struct WaitRow {
  const char* name;
  double prefill_tokens_per_second;
  uint32_t choice;
  PointerUse pointer_use;
  Verdict expected;
};

// Four requests of about 5 s each are running, so the expected wait for a slot
// is 1.25 s.
TEST_CASE("at the cap the expected wait is compared to the cold prefill") {
  const auto row = GENERATE(
      WaitRow{"prefill 0.5 s", 8000, 0, PointerUse::kUnused, Verdict::kTryNext},
      WaitRow{"prefill 4 s", 1000, 0, PointerUse::kUnused, Verdict::kWait},
      WaitRow{"cold anyway", 1000, 1, PointerUse::kUnused, Verdict::kTryNext},
      WaitRow{"warm by pointer", 1000, 3, PointerUse::kFollowed,
              Verdict::kWait},
      WaitRow{"pointer skipped", 1000, 0, PointerUse::kSkipped,
              Verdict::kTryNext});
  CAPTURE(row.name);
  AdmissionPolicy policy;
  policy.prefill_tokens_per_second = row.prefill_tokens_per_second;
  LoadedRunner runner(4, policy);
  WorkItem item = MakeItem("new");
  item.choice = row.choice;
  item.pointer_use = row.pointer_use;
  CHECK(runner.Offer(item, Uniform(3)) == row.expected);
}

TEST_CASE("a wait ends when it has lasted as long as the cold prefill") {
  AdmissionPolicy policy;
  policy.prefill_tokens_per_second = 1000;
  LoadedRunner runner(4, policy);
  REQUIRE(runner.Offer(MakeItem("new"), Uniform(3)) == Verdict::kWait);
  CHECK(runner->Advance(Uniform(3), kStart + milliseconds(3900))
            .to_displace.empty());
  CHECK(runner->Advance(Uniform(3), kStart + milliseconds(4100))
            .to_displace.size() == 1);
  CHECK(runner->waiting_requests() == 0);
}

TEST_CASE("a queued request starts when a running one ends") {
  LoadedRunner runner(4);
  WorkItem item = MakeItem("new");
  item.is_last_choice = true;
  REQUIRE(runner.Offer(item, Uniform(3)) == Verdict::kWait);
  CHECK(runner->Advance(Uniform(3), kStart).to_run.empty());
  runner->Finish(core::RequestId("running-0"), kStart + seconds(1));
  const auto progress = runner->Advance(Uniform(3), kStart + seconds(1));
  CHECK(progress.to_run == std::vector{item.request});
  CHECK(runner->running_requests() == 4);
}

TEST_CASE("waiting demand raises the cap") {
  RunnerAdmission admission(core::RunnerId("only"), {});
  const PoolDemand nothing{1, 0, 0};
  constexpr int kRequests = 30;
  for (int i = 0; i < kRequests; ++i) {
    WorkItem item = MakeItem(std::to_string(i));
    item.is_last_choice = true;
    const Verdict verdict = admission.Offer(item, nothing, kStart).verdict;
    REQUIRE((verdict == Verdict::kRun || verdict == Verdict::kWait));
  }
  admission.Advance(admission.Demand(kStart), kStart + seconds(1));
  CHECK(admission.running_requests() == kRequests);
}

struct DeadlineRow {
  const char* name;
  core::Duration deadline;
  Verdict expected;
};

// Two requests are running and two are queued, each of about 5 s, so a fifth
// request starts after about 7.5 s.
TEST_CASE("a request that can't meet its deadline is refused immediately") {
  const auto row = GENERATE(DeadlineRow{"passed", seconds(0), Verdict::kRefuse},
                            DeadlineRow{"short", seconds(4), Verdict::kRefuse},
                            DeadlineRow{"long", seconds(60), Verdict::kWait});
  CAPTURE(row.name);
  AdmissionPolicy policy;
  policy.max_running = 2;
  LoadedRunner runner(2, policy);
  for (int i = 0; i < 2; ++i) {
    WorkItem item = MakeItem("waiting-" + std::to_string(i));
    item.is_last_choice = true;
    REQUIRE(runner.Offer(item, Uniform(9)) == Verdict::kWait);
  }
  WorkItem item = MakeItem("new");
  item.is_last_choice = true;
  item.deadline = kStart + row.deadline;
  const auto decision = runner->Offer(item, Uniform(9), kStart);
  CHECK(decision.verdict == row.expected);
  if (row.expected == Verdict::kRefuse) {
    CHECK(decision.retry_after == milliseconds(7500));
    CHECK(runner->Demand(kStart).requests == Approx(5));
  }
}

// The expected service time is about 1 s, and at least half of it must remain
// before the deadline.
TEST_CASE("a queued request is refused once it can't meet its deadline") {
  AdmissionPolicy policy;
  policy.max_running = 1;
  LoadedRunner runner(1, policy);
  WorkItem item = MakeItem("new");
  item.is_last_choice = true;
  item.deadline = kStart + seconds(20);
  REQUIRE(runner.Offer(item, Uniform(9)) == Verdict::kWait);
  CHECK(runner->Advance(Uniform(9), kStart + milliseconds(19400))
            .to_refuse.empty());
  CHECK(runner->Advance(Uniform(9), kStart + milliseconds(19500))
            .to_refuse.size() == 1);
}

TEST_CASE("refused requests count as demand that decays") {
  AdmissionPolicy policy;
  policy.max_running = 1;
  policy.max_waiting = 0;
  LoadedRunner runner(1, policy);
  for (int i = 0; i < 10; ++i) {
    WorkItem item = MakeItem("new-" + std::to_string(i));
    item.is_last_choice = true;
    REQUIRE(runner.Offer(item, Uniform(9)) == Verdict::kRefuse);
  }
  CHECK(runner->Demand(kStart).requests == Approx(11));
  CHECK(runner->Demand(kStart + seconds(5)).requests == Approx(1 + 3.6788));
  CHECK(runner->Demand(kStart + seconds(60)).requests ==
        Approx(1).margin(0.01));
}

TEST_CASE("a displaced chat is found by its pointer until it expires") {
  LoadedRunner runner(0);
  WorkItem item = MakeItem("turn");
  const core::RunnerId target("runner-5");
  runner->RecordPointer(item.chat, target, kStart);
  const auto decision = runner->Offer(item, Uniform(3), kStart);
  CHECK(decision.verdict == Verdict::kFollowPointer);
  CHECK(decision.pointer == target);
  const auto later = [&](core::Duration delay) {
    item.deadline = kStart + delay + seconds(60);
    return runner->Offer(item, Uniform(3), kStart + delay).verdict;
  };
  SECTION("the pointer is renewed when it is used") {
    CHECK(later(std::chrono::minutes(29)) == Verdict::kFollowPointer);
    CHECK(later(std::chrono::minutes(58)) == Verdict::kFollowPointer);
    CHECK(later(std::chrono::minutes(89)) == Verdict::kRun);
  }
  SECTION("the pointers to the target are removed") {
    runner->ErasePointersTo(target);
    CHECK(later(seconds(1)) == Verdict::kRun);
  }
  SECTION("the chat runs on its first choice again") {
    item.pointer_use = PointerUse::kSkipped;
    CHECK(later(seconds(1)) == Verdict::kRun);
    CHECK(runner->pointer_count() == 0);
  }
}

TEST_CASE("the number of pointers is bounded") {
  AdmissionPolicy policy;
  policy.max_pointers = 100;
  LoadedRunner runner(0, policy);
  for (int i = 0; i < 1000; ++i) {
    runner->RecordPointer(core::ChatKey(std::to_string(i)),
                          core::RunnerId("runner-5"), kStart);
  }
  CHECK(runner->pointer_count() == 100);
}

TEST_CASE("a new owner counts the load that the runner reports") {
  LoadedRunner runner(0);
  runner->ObserveReport(4, 400, kStart);
  CHECK(runner.Offer(MakeItem("new"), Uniform(3)) == Verdict::kTryNext);
  SECTION("until the previous owner transfers its state") {
    runner->StopCountingInheritedLoad();
    CHECK(runner.Offer(MakeItem("new"), Uniform(3)) == Verdict::kRun);
  }
  SECTION("until the latest report expires") {
    WorkItem item = MakeItem("new");
    CHECK(runner->Offer(item, Uniform(3), kStart + seconds(4)).verdict ==
          Verdict::kTryNext);
    CHECK(runner->Offer(item, Uniform(3), kStart + seconds(6)).verdict ==
          Verdict::kRun);
  }
  SECTION("for a limited time after the first report") {
    core::TimePoint now = kStart;
    for (; now < kStart + seconds(60); now += seconds(1)) {
      runner->ObserveReport(4, 400, now);
      CHECK(runner->Offer(MakeItem("new"), Uniform(3), now).verdict !=
            Verdict::kRun);
    }
    runner->ObserveReport(4, 400, now);
    WorkItem item = MakeItem("late");
    item.deadline = now + seconds(60);
    CHECK(runner->Offer(item, Uniform(3), now).verdict == Verdict::kRun);
  }
}

TEST_CASE("a report doesn't count the owner's own requests twice") {
  LoadedRunner runner(3);
  runner->ObserveReport(3, 1800, kStart + seconds(1), milliseconds(200));
  CHECK(runner->Demand(kStart + seconds(1)).requests == Approx(3));
}

TEST_CASE("a runner that stops accepting work displaces queued requests") {
  LoadedRunner runner(4);
  WorkItem item = MakeItem("new");
  item.is_last_choice = true;
  REQUIRE(runner.Offer(item, Uniform(3)) == Verdict::kWait);
  runner->SetAcceptsWork(false);
  CHECK(runner->Advance(Uniform(3), kStart).to_displace.size() == 1);
  CHECK(runner->Demand(kStart).runners == 0);
  CHECK(runner.Offer(item, Uniform(30)) == Verdict::kRefuse);
  item.is_last_choice = false;
  CHECK(runner.Offer(item, Uniform(30)) == Verdict::kTryNext);
}

TEST_CASE("slow start reduces the load bound") {
  LoadedRunner runner(2);
  runner->SetLoadShare(0.25);
  CHECK(runner.Offer(MakeItem("new"), Uniform(4)) == Verdict::kTryNext);
  runner->SetLoadShare(1);
  CHECK(runner.Offer(MakeItem("new"), Uniform(4)) == Verdict::kRun);
}

TEST_CASE("a suspect runs alone") {
  LoadedRunner runner(1);
  WorkItem suspect = MakeItem("suspect");
  suspect.runs_alone = true;
  suspect.content_digest = 7;
  REQUIRE(runner.Offer(suspect, Uniform(9)) == Verdict::kWait);
  CHECK(runner.Offer(MakeItem("other"), Uniform(9)) == Verdict::kTryNext);
  SECTION("once the runner is empty") {
    CHECK(runner->Advance(Uniform(9), kStart).to_run.empty());
    runner->Finish(core::RequestId("running-0"), kStart + seconds(1));
    CHECK(runner->Advance(Uniform(9), kStart + seconds(1)).to_run.size() == 1);
    CHECK(runner.Offer(MakeItem("other"), Uniform(9)) == Verdict::kTryNext);
    runner->Finish(suspect.request, kStart + seconds(2));
    CHECK(runner.Offer(MakeItem("other"), Uniform(9)) == Verdict::kRun);
  }
  SECTION("unless it is released while it is queued") {
    runner->ReleaseSuspect(7);
    CHECK(runner->Advance(Uniform(9), kStart).to_run.size() == 1);
  }
}

}  // namespace
}  // namespace wasabi::routing
