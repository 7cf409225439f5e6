// Guards against an answer to a question of a host's previous process that is
// taken for the answer to a question of the present one, and against reports of
// a host that has just restarted that are taken for old ones.

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibForwarding/permit_exchange.h"
#include "LibForwarding/place_exchange.h"
#include "LibForwarding/pool_slot_exchange.h"
#include "Tests/LibForwarding/ask_exchange.h"

namespace wasabi::forwarding {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::TimePoint kStart{seconds(100)};
// A process has sent fewer messages than this when the next one begins.
constexpr uint64_t kNextProcess = 1'000'000;
constexpr uint32_t kSlots = 2;

const core::HostId kAsking("h0");
const core::HostId kGranting("h1");
const std::vector<core::HostId> kHosts = {kAsking, kGranting};

// One process of a host, for any of the exchanges.
struct Process {
  // The last message that it sent.
  std::string sent;
  uint32_t in_flight = 0;
  std::vector<bool> grants;
  std::function<void()> ask;
  std::function<void(const std::string& body)> answer;
  std::function<void(const core::HostId& from, const std::string& body)>
      question;
  // Sends a report.
  std::function<void()> finish;
  std::function<void(const core::HostId& from, const std::string& body)> report;
  std::shared_ptr<void> exchange;
};
using ProcessPointer = std::shared_ptr<Process>;
using StartFunction =
    std::function<ProcessPointer(const core::HostId& self,
                                 uint64_t first_sequence,
                                 const core::RunnerId& endpoint)>;

LimitNews::SendFunction KeepIn(Process* process) {
  return [process](const std::vector<core::HostId>& /*to*/,
                   membership::ApplicationKind kind, std::string_view body) {
    if (kind != membership::ApplicationKind::kEndpointLimits &&
        kind != membership::ApplicationKind::kBrittleEndpoints) {
      process->sent = body;
    }
  };
}

ProcessPointer StartPermits(const core::HostId& self,
                            uint64_t first_sequence,
                            const core::RunnerId& endpoint) {
  auto process = std::make_shared<Process>();
  Process* it = process.get();
  auto permits =
      std::make_shared<PermitExchange>(self, KeepIn(it), first_sequence);
  permits->SetHosts(kHosts, kHosts.size());
  permits->RecordLimit(endpoint, 100, kStart);
  PermitExchange* exchange = permits.get();
  it->ask = [it, exchange, endpoint] {
    AskExchange(*exchange, endpoint, kStart,
                [it](bool is_granted) { it->grants.push_back(is_granted); });
  };
  it->answer = [exchange](const std::string& body) {
    CHECK(exchange->OnAnswer(kGranting, body, kStart).ok());
  };
  it->question = [exchange](const core::HostId& from, const std::string& body) {
    CHECK(exchange->OnQuestion(from, body, kStart).ok());
  };
  it->exchange = permits;
  return process;
}

ProcessPointer StartPlaces(const core::HostId& self,
                           uint64_t first_sequence,
                           const core::RunnerId& endpoint) {
  auto process = std::make_shared<Process>();
  Process* it = process.get();
  auto places = std::make_shared<PlaceExchange>(
      self, [it](uint64_t /*endpoint*/) { return it->in_flight; }, KeepIn(it),
      first_sequence);
  places->SetHosts(kHosts, kHosts.size(), kStart - seconds(1));
  Endpoint brittle;
  brittle.id = endpoint;
  brittle.slots = kSlots;
  places->RecordBrittle(brittle, true, kStart);
  PlaceExchange* exchange = places.get();
  it->ask = [it, exchange, brittle] {
    AskExchange(*exchange, brittle, kStart,
                [it](bool is_granted) { it->grants.push_back(is_granted); });
  };
  it->answer = [exchange](const std::string& body) {
    CHECK(exchange->OnAnswer(kGranting, body, kStart).ok());
  };
  it->question = [exchange](const core::HostId& from, const std::string& body) {
    CHECK(exchange->OnQuestion(from, body, kStart).ok());
  };
  it->finish = [exchange, endpoint] { exchange->OnFinished(endpoint, kStart); };
  it->report = [exchange](const core::HostId& from, const std::string& body) {
    CHECK(exchange->OnReport(from, body, kStart).ok());
  };
  it->exchange = places;
  return process;
}

ProcessPointer StartPoolSlots(const core::HostId& self,
                              uint64_t first_sequence,
                              const core::RunnerId& endpoint) {
  auto process = std::make_shared<Process>();
  Process* it = process.get();
  auto slots = std::make_shared<PoolSlotExchange>(
      self, [it](uint64_t /*endpoint*/) { return it->in_flight; }, KeepIn(it),
      first_sequence);
  slots->SetHosts(kHosts);
  // The pool takes the endpoint's name, so that its granting host differs.
  const core::PoolId pool(endpoint.value());
  PoolSlotExchange* exchange = slots.get();
  it->ask = [it, exchange, pool, endpoint] {
    PoolSlotRequest request{.pool = pool};
    request.candidates.push_back(
        {.endpoint = endpoint.Hash(), .slots = kSlots});
    AskExchange(*exchange, request, kStart, [it](const PoolSlotResult& result) {
      it->grants.push_back(result.outcome == PoolSlotOutcome::kGranted);
    });
  };
  it->answer = [exchange](const std::string& body) {
    CHECK(exchange->OnAnswer(kGranting, body, kStart).ok());
  };
  it->question = [exchange](const core::HostId& from, const std::string& body) {
    CHECK(exchange->OnQuestion(from, body, kStart).ok());
  };
  it->finish = [exchange, pool] { exchange->OnFinished(pool, kStart); };
  it->report = [exchange](const core::HostId& from, const std::string& body) {
    CHECK(exchange->OnReport(from, body, kStart).ok());
  };
  it->exchange = slots;
  return process;
}

struct ExchangeCase {
  const char* what;
  StartFunction start;
};

const ExchangeCase kExchanges[] = {{"permits", &StartPermits},
                                   {"places", &StartPlaces},
                                   {"pool slots", &StartPoolSlots}};
constexpr int kEndpoints = 8;

core::RunnerId EndpointAt(int i) {
  return core::RunnerId(fmt::format("e{}", i));
}

TEST_CASE("an answer to a host's previous process answers no question") {
  for (const ExchangeCase& row : kExchanges) {
    INFO(row.what);
    int asked = 0;
    for (int i = 0; i < kEndpoints; ++i) {
      const core::RunnerId endpoint = EndpointAt(i);
      const ProcessPointer before = row.start(kAsking, 0, endpoint);
      before->ask();
      if (before->sent.empty()) {
        // This host grants by itself.
        continue;
      }
      ++asked;
      const ProcessPointer granter = row.start(kGranting, 0, endpoint);
      granter->question(kAsking, before->sent);
      const std::string late = granter->sent;
      const ProcessPointer restarted =
          row.start(kAsking, kNextProcess, endpoint);
      restarted->ask();
      restarted->answer(late);
      CHECK(restarted->grants.empty());
      granter->question(kAsking, restarted->sent);
      const std::string answer = granter->sent;
      restarted->answer(answer);
      REQUIRE(restarted->grants.size() == 1);
      // A datagram that comes twice.
      restarted->answer(answer);
      restarted->answer(late);
      CHECK(restarted->grants.size() == 1);
    }
    CHECK(asked > 0);
  }
}

TEST_CASE("the granting host believes a host that has just restarted") {
  for (const ExchangeCase& row : kExchanges) {
    INFO(row.what);
    for (int i = 0; i < kEndpoints; ++i) {
      const core::RunnerId endpoint = EndpointAt(i);
      const ProcessPointer before = row.start(kAsking, 0, endpoint);
      if (!before->finish) {
        // Permits are not given back.
        continue;
      }
      before->ask();
      if (before->sent.empty()) {
        continue;
      }
      const ProcessPointer granter = row.start(kGranting, 0, endpoint);
      before->in_flight = kSlots;
      for (int k = 0; k < 5; ++k) {
        before->finish();
      }
      granter->report(kAsking, before->sent);
      granter->ask();
      CHECK(granter->grants == std::vector{false});
      granter->grants.clear();
      const ProcessPointer restarted =
          row.start(kAsking, kNextProcess, endpoint);
      restarted->ask();
      granter->question(kAsking, restarted->sent);
      restarted->answer(granter->sent);
      CHECK(restarted->grants == std::vector{true});
    }
  }
}

// A copy of a question is granted once more, until the next report.
TEST_CASE("a question that comes twice is answered once and takes one slot") {
  for (const ExchangeCase& row : kExchanges) {
    INFO(row.what);
    for (int i = 0; i < kEndpoints; ++i) {
      const core::RunnerId endpoint = EndpointAt(i);
      const ProcessPointer asking = row.start(kAsking, 0, endpoint);
      asking->ask();
      if (asking->sent.empty()) {
        continue;
      }
      const ProcessPointer granter = row.start(kGranting, 0, endpoint);
      const std::string question = asking->sent;
      for (int k = 0; k < 2; ++k) {
        granter->question(kAsking, question);
        asking->answer(granter->sent);
      }
      CHECK(asking->grants.size() == 1);
      if (!asking->finish) {
        // The bucket of a permit fills with time.
        continue;
      }
      CHECK(asking->grants.front());
      asking->in_flight = 1;
      asking->finish();
      granter->report(kAsking, asking->sent);
      granter->ask();
      CHECK(granter->grants == std::vector{true});
    }
  }
}

}  // namespace
}  // namespace wasabi::forwarding
