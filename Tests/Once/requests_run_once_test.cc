// Regression test: a request that may run once began twice, or after its caller
// was promised that it never runs; or a request went on at another endpoint
// while the first one still worked on it.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Once/once_fleet.h"
#include "Tests/Once/once_judge.h"
#include "Tests/Once/refusal_ledger.h"

namespace wasabi::once {
namespace {

using std::chrono_literals::operator""ms;

// Disturbs the hosts; called every 50 ms with the number of calls before.
using Disturb = void (*)(OnceFleet* fleet, size_t tick);

// The ids that stand for the address of an endpoint.
enum class Ids : uint8_t { kOne, kTwo, kOfRenewed, kOneOfRenewed };

struct Path {
  Behaviour behaviour;
  Disturb disturb = nullptr;
  FleetOptions options = {};
  // Hosts are stopped, killed or stand still, so that callers may see
  // connections that end without an answer.
  bool are_hosts_disturbed = false;
  core::Duration time = 2500ms;
  Ids ids = Ids::kOne;
  // Hosts ask each other for the slots of the plain pool.
  bool are_slots_granted = false;
};

uint64_t Seed() {
  const char* seed = std::getenv("WASABI_ONCE_SEED");
  return seed == nullptr ? 1 : std::strtoull(seed, nullptr, 10);
}

// A run without a break proves something only if it reached the path: copies
// were written, and requests met an address under an id that isn't its
// endpoint's. How often they came again to it is printed but not required: a
// host may leave out an entry that a 421 has shown to be stale. None may come
// again on the connection.
void CheckRefusals(const Path& path,
                   const RefusalLedger::Counts& counts,
                   OnceFleet* fleet) {
  CHECK(counts.again_on_connection == 0);
  CHECK((counts.misdirected > 0) ==
        (path.ids == Ids::kTwo || path.ids == Ids::kOfRenewed));
  CHECK((fleet->renewals() > 0) ==
        (path.ids == Ids::kOfRenewed || path.ids == Ids::kOneOfRenewed));
  if (path.are_slots_granted) {
    const uint64_t granted =
        fleet->SumOfCounter("wasabi_forward_pool_slots_granted");
    std::cout << fmt::format("  slots_granted={}\n", granted) << std::flush;
    CHECK(granted > 0);
  }
  if (path.behaviour.copy_time != CopyTime::kNever) {
    CHECK(counts.copies > 0);
  }
  if (path.behaviour.refused_share > 0) {
    CHECK(counts.overloaded > 0);
  }
}

void Run(const std::string& name, const Path& path) {
  FleetOptions options = path.options;
  options.seed = Seed();
  OnceFleet fleet(options);
  fleet.SetBehaviour(path.behaviour);
  size_t tick = 0;
  fleet.SendFor(path.time, [&]() {
    if (path.disturb != nullptr) {
      path.disturb(&fleet, tick++);
    }
  });
  for (size_t i = 0; i < fleet.hosts(); ++i) {
    fleet.Signal(i, SIGCONT);
  }
  fleet.Drain();
  const Verdict verdict = Judge(fleet.record(), fleet.loop()->Now());
  const RefusalLedger::Counts& refusals = fleet.record().refusals.counts();
  std::cout << fmt::format(
                   "{}: calls={} served={} affected={} twice={} overlapped={} "
                   "refused={} unanswered={} for_nobody={} "
                   "longest_overlap_ms={} renewals={} misdirected={} "
                   "overloaded={} copies={} again_at_address={} "
                   "again_on_connection={}\n",
                   name, fleet.record().calls.size(), fleet.served(),
                   fleet.record().affected, verdict.ran_twice,
                   verdict.overlapped, verdict.ran_though_refused,
                   verdict.ran_unanswered, verdict.ran_for_nobody,
                   core::ToMilliseconds(verdict.longest_overlap),
                   fleet.renewals(), refusals.misdirected, refusals.overloaded,
                   refusals.copies, refusals.again_at_address,
                   refusals.again_on_connection)
            << std::flush;
  std::string details;
  for (const std::string& it : verdict.details) {
    details += it + "\n";
  }
  INFO(name << "\n" << details);
  CHECK(verdict.ran_twice == 0);
  CHECK(verdict.overlapped == 0);
  CHECK(verdict.ran_though_refused == 0);
  if (!path.are_hosts_disturbed) {
    CHECK(verdict.ran_unanswered == 0);
    CHECK(verdict.ran_for_nobody == 0);
  }
  if (path.behaviour.share > 0) {
    CHECK(fleet.record().affected > 0);
  }
  CheckRefusals(path, refusals, &fleet);
}

void RunAll(const std::vector<Path>& paths) {
  for (const Path& it : paths) {
    Run(it.behaviour.name, it);
  }
}

// Returns a path for each of `behaviours`.
std::vector<Path> With(const std::vector<Behaviour>& behaviours,
                       Disturb disturb,
                       const FleetOptions& options,
                       bool are_hosts_disturbed) {
  std::vector<Path> paths;
  for (const Behaviour& it : behaviours) {
    paths.push_back({.behaviour = it,
                     .disturb = disturb,
                     .options = options,
                     .are_hosts_disturbed = are_hosts_disturbed});
  }
  return paths;
}

constexpr double kShare = 0.3;

#define ANSWER_HEAD "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
#define REFUSAL_HEAD "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\n"

const std::vector<Behaviour> kEnds = {
    {.name = "reset before the head", .then = Then::kResets, .share = kShare},
    {.name = "close before the head", .then = Then::kCloses, .share = kShare},
    {.name = "close before the head, kept connection",
     .then = Then::kCloses,
     .share = 0.6,
     .is_for_reused = true},
    {.name = "reset within the head",
     .text = ANSWER_HEAD "Respon",
     .then = Then::kResets,
     .share = kShare},
    {.name = "close after the head",
     .text = ANSWER_HEAD "Response-Signature: s\r\nContent-Length: 9\r\n\r\nab",
     .then = Then::kCloses,
     .share = kShare},
    {.name = "refusal cut within its promise",
     .text = REFUSAL_HEAD "Not-Execut",
     .then = Then::kCloses,
     .share = kShare},
    {.name = "refusal cut within its head",
     .text = REFUSAL_HEAD "Not-Executed: 1\r\nContent-Le",
     .then = Then::kCloses,
     .share = kShare},
    {.name = "refusal cut in its body",
     .text = REFUSAL_HEAD "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfu",
     .then = Then::kResets,
     .share = kShare},
    {.name = "interim answer, then an end",
     .text = "HTTP/1.1 100 Continue\r\n\r\n",
     .then = Then::kCloses,
     .share = kShare},
    {.name = "408 without a promise",
     .text = "HTTP/1.1 408 X\r\nRequest-Id: {id}\r\nContent-Length: "
             "0\r\n\r\n",
     .then = Then::kIsDone,
     .share = kShare},
    {.name = "429 without a promise",
     .text = "HTTP/1.1 429 X\r\nRequest-Id: {id}\r\nContent-Length: "
             "0\r\n\r\n",
     .then = Then::kIsDone,
     .share = kShare},
    {.name = "503 without a promise",
     .text = REFUSAL_HEAD "Content-Length: 0\r\n\r\n",
     .then = Then::kIsDone,
     .share = kShare},
    {.name = "idle connections close as they are used", .max_idle = 25ms},
};

TEST_CASE("a request that may have run is neither sent again nor refused",
          "[ends]") {
  RunAll(With(kEnds, nullptr, {}, false));
}

const std::vector<Behaviour> kForeignAnswers = {
    {.name = "refusal without an id",
     .text = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: "
             "4\r\n\r\nfull",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "refusal without an id, kept connection",
     .text = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: "
             "4\r\n\r\nfull",
     .then = Then::kWorksOn,
     .share = 0.6,
     .is_for_reused = true},
    {.name = "misdirected, without an id",
     .text = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "refusal of another request",
     .text = "HTTP/1.1 503 X\r\nRequest-Id: {old}\r\nNot-Executed: "
             "1\r\nContent-Length: 4\r\n\r\nfull",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "refusal with two ids",
     .text = REFUSAL_HEAD "Request-Id: {old}\r\nNot-Executed: "
                          "1\r\nContent-Length: 4\r\n\r\nfull",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "short success without an id",
     .text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "short failure without an id",
     .text = "HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\nno",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "short success without a signature",
     .text = ANSWER_HEAD "Content-Length: 2\r\n\r\nno",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "503 without a promise, while it works on",
     .text = REFUSAL_HEAD "Content-Length: 0\r\n\r\n",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "421 without a promise, while it works on",
     .text = "HTTP/1.1 421 X\r\nRequest-Id: {id}\r\nContent-Length: "
             "0\r\n\r\n",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "bytes that are no answer",
     .text = "no answer\r\n\r\n",
     .then = Then::kWorksOn,
     .share = kShare},
    {.name = "late copy of a refusal without an id",
     .late_text = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: "
                  "4\r\n\r\nfull",
     .late_by = 15ms},
    {.name = "late copy of a refusal of another request",
     .late_text = "HTTP/1.1 503 X\r\nRequest-Id: {old}\r\nNot-Executed: "
                  "1\r\nContent-Length: 4\r\n\r\nfull",
     .late_by = 15ms},
    {.name = "late copy of an answer",
     .late_text = "HTTP/1.1 200 OK\r\nRequest-Id: {old}\r\n"
                  "Response-Signature: s1\r\nContent-Length: 2\r\n\r\nok",
     .late_by = 15ms},
};

TEST_CASE("only an answer that names the request ends it", "[refusals]") {
  RunAll(With(kForeignAnswers, nullptr, {}, false));
}

const std::vector<Behaviour> kSilences = {
    {.name = "slow endpoint",
     .then = Then::kWorksOn,
     .share = 0.1,
     .time = 3500ms},
    {.name = "slow endpoint that ignores a half-close",
     .then = Then::kWorksOn,
     .share = 0.1,
     .time = 3500ms,
     .ignores_half_close = true},
    {.name = "endpoint stands still for 1 s",
     .then = Then::kStandsStill,
     .share = 0.1,
     .time = 1000ms},
    {.name = "endpoint stands still for 2 s",
     .then = Then::kStandsStill,
     .share = 0.1,
     .time = 2000ms},
    {.name = "endpoint stands still for 3 s",
     .then = Then::kStandsStill,
     .share = 0.1,
     .time = 3000ms},
};

TEST_CASE("an endpoint that is given up stops before another one goes on",
          "[silence]") {
  RunAll(With(kSilences, nullptr, {.requests_per_second = 60}, false));
  RunAll(With({{.name = "callers that leave slow endpoints that ignore a "
                        "half-close",
                .then = Then::kWorksOn,
                .share = 0.5,
                .time = 1200ms,
                .ignores_half_close = true}},
              nullptr, {.leaving_share = 0.3}, false));
}

void StandStill(OnceFleet* fleet, size_t tick) {
  if (tick % 12 == 0) {
    const size_t host = tick / 12 % fleet->hosts();
    fleet->StandStill(host,
                      core::milliseconds(50 + fleet->random().Below(900)));
  }
}

void Stop(OnceFleet* fleet, size_t tick) {
  if (tick % 16 == 8) {
    fleet->Signal(tick / 16 % fleet->hosts(), SIGTERM);
  }
  if (tick % 48 == 20) {
    fleet->Signal(tick / 48 % fleet->hosts(), SIGTERM);
  }
}

void Kill(OnceFleet* fleet, size_t tick) {
  if (tick % 12 == 6) {
    fleet->Signal(tick / 12 % fleet->hosts(), SIGKILL);
  }
}

// Listen queues fill up, and empty at about the time of connection attempts.
void StopAccepting(OnceFleet* fleet, size_t tick) {
  if (tick % 10 == 2) {
    const size_t endpoint = tick / 10 % fleet->endpoints().size();
    fleet->endpoints()[endpoint]->SetAccepting(false);
    fleet->CallAfter(core::milliseconds(350 + fleet->random().Below(100)),
                     [fleet, endpoint]() {
                       fleet->endpoints()[endpoint]->SetAccepting(true);
                     });
  }
}

void StandStillAndStopAccepting(OnceFleet* fleet, size_t tick) {
  StandStill(fleet, tick);
  StopAccepting(fleet, tick);
}

const Behaviour kShortConnections = {.name = "", .max_idle = 5ms};

TEST_CASE("hosts that stop, die or stand still break no promise", "[hosts]") {
  struct Row {
    const char* name;
    Disturb disturb;
    bool are_hosts_disturbed;
    bool has_load_control;
    const char* fields = "";
  };
  const Row rows[] = {
      {"hosts stand still", StandStill, true, false},
      {"hosts stop in series", Stop, true, false},
      {"hosts stop, with load control", Stop, true, true},
      {"hosts are killed", Kill, true, false},
      {"hosts are killed, with load control", Kill, true, true},
      {"listen queues are full", StopAccepting, false, false},
      {"hosts stand still, listen queues are full", StandStillAndStopAccepting,
       true, false},
      // Hosts ask each other for permits, and for the places of endpoints.
      {"granting hosts stand still", StandStill, true, true,
       "Server-Limit: 60\r\n"},
      {"granting hosts are killed", Kill, true, false,
       "Server-Limit: 60\r\nServer-Brittle: 20\r\n"},
  };
  for (const Row& row : rows) {
    Path path{.behaviour = {.name = "", .fields = row.fields, .max_idle = 5ms},
              .disturb = row.disturb,
              .options = {.hosts = 3,
                          .requests_per_second = 200,
                          .load_control_enabled = row.has_load_control,
                          .leaving_share = 0.05},
              .are_hosts_disturbed = row.are_hosts_disturbed,
              .time = 5000ms};
    Run(row.name, path);
    path.behaviour = {
        .name = "", .then = Then::kCloses, .share = 0.1, .fields = row.fields};
    Run(std::string(row.name) + ", connections are closed", path);
  }
}

void Cut(OnceFleet* fleet, size_t tick) {
  if (tick == 4) {
    fleet->CutFirstHost();
  }
}

void CutAndStandStill(OnceFleet* fleet, size_t tick) {
  Cut(fleet, tick);
  if (tick % 20 == 10) {
    fleet->StandStill(1 + tick / 20 % (fleet->hosts() - 1),
                      core::milliseconds(100 + fleet->random().Below(1200)));
  }
}

void CutAndKill(OnceFleet* fleet, size_t tick) {
  Cut(fleet, tick);
  if (tick % 20 == 10) {
    fleet->Signal(1 + tick / 20 % (fleet->hosts() - 1), SIGKILL);
  }
}

void CutAndStop(OnceFleet* fleet, size_t tick) {
  Cut(fleet, tick);
  if (tick % 30 == 10) {
    fleet->Signal(1 + tick / 30 % (fleet->hosts() - 1), SIGTERM);
  }
}

TEST_CASE("requests through a carrier keep the promises", "[tunnels]") {
  const FleetOptions options{
      .hosts = 3, .requests_per_second = 90, .has_links = true};
  const auto run = [&](const char* name, const Behaviour& behaviour,
                       Disturb disturb, bool are_hosts_disturbed) {
    Run(name, {.behaviour = behaviour,
               .disturb = disturb,
               .options = options,
               .are_hosts_disturbed = are_hosts_disturbed,
               .time = 4500ms});
  };
  run("carried", kShortConnections, Cut, false);
  run("carried, close before the head", kEnds[1], Cut, false);
  run("carried, refusal cut in its body", kEnds[7], Cut, false);
  run("carried, refusal without an id", kForeignAnswers[0], Cut, false);
  run("carried, short failure without an id", kForeignAnswers[6], Cut, false);
  run("carried, slow endpoint", kSilences[0], Cut, false);
  run("carried, slow endpoint that ignores a half-close", kSilences[1], Cut,
      false);
  run("carriers stand still", kShortConnections, CutAndStandStill, true);
  run("carriers are killed", kShortConnections, CutAndKill, true);
  run("carriers stop", kShortConnections, CutAndStop, true);
}

// Endpoints of both pools in turn.
void RenewOne(OnceFleet* fleet, size_t tick, Renewal renewal) {
  const size_t endpoints = fleet->endpoints().size() / 2;
  const size_t n = tick / 10;
  if (tick % 10 == 2) {
    fleet->Renew(n % 2 * endpoints + n / 2 % endpoints, renewal);
  }
}

void Renew(OnceFleet* fleet, size_t tick) {
  RenewOne(fleet, tick, Renewal::kOtherId);
}

void RenewInOtherPool(OnceFleet* fleet, size_t tick) {
  RenewOne(fleet, tick, Renewal::kOtherIdAndPool);
}

// So seldom that the slots of the entries that stand are few enough to be
// granted.
void RenewPlain(OnceFleet* fleet, size_t tick) {
  if (tick % 25 == 2) {
    fleet->Renew(tick / 25 % (fleet->endpoints().size() / 2),
                 Renewal::kOtherId);
  }
}

void CutAndRenew(OnceFleet* fleet, size_t tick) {
  Cut(fleet, tick);
  Renew(fleet, tick);
}

void RenewUnderOneId(OnceFleet* fleet, size_t tick) {
  RenewOne(fleet, tick, Renewal::kSameId);
}

template <Disturb disturb>
void RenewAnd(OnceFleet* fleet, size_t tick) {
  Renew(fleet, tick);
  disturb(fleet, tick);
}

void AddSecondEntries(OnceFleet* fleet, size_t tick) {
  for (size_t i = 0; tick == 0 && i < fleet->endpoints().size(); ++i) {
    fleet->AddSecondEntry(i);
  }
}

// Returns the number of hosts of the largest row, 1 to 90.
size_t ManyHosts() {
  const char* hosts = std::getenv("WASABI_ONCE_HOSTS");
  const size_t n = hosts == nullptr ? 24 : std::strtoull(hosts, nullptr, 10);
  return std::clamp<size_t>(n, 1, 90);
}

TEST_CASE("a copy of a refusal isn't the refusal of the next send",
          "[copies]") {
  const Behaviour misdirected{.name = "", .copy_time = CopyTime::kAsRead};
  const Behaviour overloaded{.name = "",
                             .refused_share = 0.2,
                             .copy_time = CopyTime::kAsRead,
                             .copies_misdirected = false};
  const Behaviour both{
      .name = "", .refused_share = 0.2, .copy_time = CopyTime::kAsRead};
  const auto at = [&](CopyTime time) {
    Behaviour behaviour = both;
    behaviour.copy_time = time;
    return behaviour;
  };
  const auto naming = [&](const char* ids) {
    Behaviour behaviour = both;
    behaviour.copy_ids = ids;
    return behaviour;
  };
  const FleetOptions plain{.hosts = 3};
  const FleetOptions carried{.hosts = 3, .has_links = true};
  const FleetOptions large_bodies{
      .hosts = 3, .requests_per_second = 60, .body_bytes = 512U << 10U};
  const FleetOptions sharing{
      .hosts = 8, .load_control_enabled = true, .has_links = true, .slots = 3};
  const FleetOptions many{.hosts = ManyHosts(),
                          .endpoints = 6,
                          .requests_per_second = 200,
                          .load_control_enabled = true,
                          .slots = 6,
                          .kinds = 2};
  struct Row {
    const char* name;
    Behaviour behaviour;
    Disturb disturb;
    FleetOptions options;
    Ids ids = Ids::kOfRenewed;
    bool are_slots_granted = false;
    core::Duration time = 3500ms;
  };
  const Row rows[] = {
      {"renewed, copies of 421", misdirected, Renew, plain},
      {"renewed, copies of 503", overloaded, Renew, plain},
      {"renewed, copies of both", both, Renew, plain},
      {"renewed, copies before the next", at(CopyTime::kBefore), Renew, plain},
      {"renewed, copies after the next", at(CopyTime::kAfter), Renew, plain},
      {"renewed, copies of another id", naming("Request-Id: {old}\r\n"), Renew,
       plain},
      {"renewed, copies without an id", naming(""), Renew, plain},
      {"renewed, copies with two ids",
       naming("Request-Id: {id}\r\nRequest-Id: {old}\r\n"), Renew, plain},
      {"renewed, large bodies", both, Renew, large_bodies},
      {"renewed, carried", both, CutAndRenew, carried},
      {"renewed in the other pool", both, RenewInOtherPool, plain},
      {"two entries for an address", both, AddSecondEntries, plain, Ids::kTwo},
      {"one id, carried, with load control", overloaded, Cut, sharing,
       Ids::kOne, true},
      {"renewed, carried, with load control", both, CutAndRenew, sharing,
       Ids::kOfRenewed, true},
      {"renewed, many hosts", both, RenewPlain, many, Ids::kOfRenewed, true,
       8000ms},
  };
  for (const Row& row : rows) {
    Run(row.name, {.behaviour = row.behaviour,
                   .disturb = row.disturb,
                   .options = row.options,
                   .time = row.time,
                   .ids = row.ids,
                   .are_slots_granted = row.are_slots_granted});
  }
}

TEST_CASE("renewed endpoints break no promise while hosts are disturbed",
          "[renewals]") {
  const FleetOptions options{.hosts = 3};
  const FleetOptions late{.hosts = 3, .entry_time = core::seconds(5)};
  const FleetOptions leaving{.hosts = 3, .leaving_share = 0.2};
  struct Row {
    const char* name;
    Disturb disturb;
    bool are_hosts_disturbed;
    FleetOptions options;
    Ids ids = Ids::kOfRenewed;
  };
  const Row rows[] = {
      {"renewed under one id", RenewUnderOneId, false, options,
       Ids::kOneOfRenewed},
      {"renewed, entries lapse late", Renew, false, late},
      {"renewed, callers leave", Renew, false, leaving},
      {"renewed, hosts stand still", RenewAnd<StandStill>, true, options},
      {"renewed, hosts stop", RenewAnd<Stop>, true, options},
      {"renewed, hosts are killed", RenewAnd<Kill>, true, options},
      {"renewed, listen queues are full", RenewAnd<StopAccepting>, false,
       options},
      {"renewed, carriers stand still",
       RenewAnd<CutAndStandStill>,
       true,
       {.hosts = 3, .requests_per_second = 90, .has_links = true}},
  };
  for (const Row& row : rows) {
    Run(row.name, {.behaviour = {.name = "",
                                 .refused_share = 0.2,
                                 .copy_time = CopyTime::kAsRead},
                   .disturb = row.disturb,
                   .options = row.options,
                   .are_hosts_disturbed = row.are_hosts_disturbed,
                   .time = 4500ms,
                   .ids = row.ids});
  }
}

}  // namespace
}  // namespace wasabi::once
