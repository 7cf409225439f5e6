#include "Tests/Support/FaultProxy/link_faults.h"

#include <catch2/catch.hpp>
#include <string>

#include "Tests/Support/FaultProxy/proxy_server.h"

namespace wasabi::support {
namespace {

constexpr uint64_t kSeed = 7;
constexpr core::TimePoint kStart;

LinkFault MakeFault(const std::string& json) {
  const auto fault = LinkFaultFromJson(nlohmann::json::parse(json));
  REQUIRE(fault.ok());
  return *fault;
}

TEST_CASE("a freeze blocks only its directions and ends after its duration") {
  struct Case {
    std::string direction;
    bool is_to_target_frozen;
    bool is_to_client_frozen;
  };
  const auto row = GENERATE(values<Case>({{"both", true, true},
                                          {"to_target", true, false},
                                          {"to_client", false, true}}));
  LinkFaults faults(kSeed);
  const std::string json =
      R"({"kind":"freeze","duration_ms":100,"direction":")";
  faults.Inject(MakeFault(json + row.direction + "\"}"), kStart);
  const core::TimePoint before = kStart + core::milliseconds(99);
  CHECK(faults.IsFrozen(Direction::kToTarget, before) ==
        row.is_to_target_frozen);
  CHECK(faults.IsFrozen(Direction::kToClient, before) ==
        row.is_to_client_frozen);
  const core::TimePoint after = kStart + core::milliseconds(100);
  CHECK_FALSE(faults.IsFrozen(Direction::kToTarget, after));
  CHECK_FALSE(faults.IsFrozen(Direction::kToClient, after));
}

TEST_CASE(
    "drops and duplicates match their share and depend only on the seed") {
  constexpr int kDatagrams = 10'000;
  LinkFaults first(kSeed);
  LinkFaults second(kSeed);
  for (LinkFaults* it : {&first, &second}) {
    it->Inject(MakeFault(R"({"kind":"drop","share":0.2})"), kStart);
    it->Inject(MakeFault(R"({"kind":"duplicate","share":0.1})"), kStart);
  }
  int dropped = 0;
  int duplicated = 0;
  for (int i = 0; i < kDatagrams; ++i) {
    const Treatment treatment = first.Treat(Direction::kToTarget, kStart);
    REQUIRE(treatment == second.Treat(Direction::kToTarget, kStart));
    dropped += treatment.is_dropped ? 1 : 0;
    duplicated += treatment.is_duplicated ? 1 : 0;
  }
  CHECK(dropped == Approx(kDatagrams * 0.2).epsilon(0.1));
  CHECK(duplicated == Approx(kDatagrams * 0.1).epsilon(0.1));
}

TEST_CASE("a clear fault removes all faults") {
  LinkFaults faults(kSeed);
  faults.Inject(MakeFault(R"({"kind":"delay","delay_ms":30})"), kStart);
  faults.Inject(MakeFault(R"({"kind":"freeze"})"), kStart);
  CHECK(faults.Treat(Direction::kToClient, kStart).delay ==
        core::milliseconds(30));
  faults.Inject(MakeFault(R"({"kind":"clear"})"), kStart);
  CHECK(faults.Treat(Direction::kToClient, kStart) == Treatment{});
  CHECK_FALSE(faults.IsFrozen(Direction::kToClient, kStart));
}

TEST_CASE("malformed faults and links are rejected") {
  CHECK_FALSE(LinkFaultFromJson(nlohmann::json::parse(R"({"kind":"x"})")).ok());
  CHECK_FALSE(LinkFaultFromJson(nlohmann::json()).ok());
  CHECK_FALSE(LinkSpec::Parse("a=tcp:127.0.0.1:1").ok());
  CHECK_FALSE(LinkSpec::Parse("a=tcp:127.0.0.1>127.0.0.1:2").ok());
  const auto link = LinkSpec::Parse("a=udp:127.0.0.1:1>127.0.0.2:2");
  REQUIRE(link.ok());
  CHECK(link->name == "a");
  CHECK(link->is_udp);
  CHECK(link->target.ToString() == "127.0.0.2:2");
}

}  // namespace
}  // namespace wasabi::support
