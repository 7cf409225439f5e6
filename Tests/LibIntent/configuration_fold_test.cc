#include "LibIntent/configuration_fold.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/LibIntent/record_builder.h"

namespace wasabi::intent {
namespace {

const core::DeploymentId kSalazar("salazar");
const ItemKey kModelItem = ItemKey::ForModel(kSalazar, "luthier");
const ItemKey kDrainItem = ItemKey::ForDrain("runner-1");

ModelPool MakePool(double load_bound) {
  ModelPool pool;
  pool.pool = core::PoolId("models");
  pool.load_bound = load_bound;
  return pool;
}

OrganisationEntry MakeOrganisation(const core::DeploymentId& deployment) {
  return {deployment, Organisation{2.0, 10.0}};
}

FoldOutcome Fold(ConfigurationFold* fold, const std::string& body) {
  return fold->Apply({fold->revision() + 1, body}).outcome;
}

std::string SnapshotRecordOf(const ConfigurationFold& fold) {
  return EncodeRecord(
      SnapshotRecord{{"daemon", fold.revision()}, fold.Snapshot()});
}

TEST_CASE("every kind of item can be set, read back and removed") {
  struct Case {
    ItemKey item;
    ItemValue value;
  };
  const std::vector<Case> cases = {
      {kModelItem, MakePool(1.5)},
      {ItemKey::ForModel(kSalazar, "family/luthier"), MakePool(2)},
      {ItemKey::ForService(kSalazar, "holds"),
       PlainService{core::PoolId("counter"), false}},
      {ItemKey::ForOrganisation(core::OrganisationId("coro")),
       MakeOrganisation(kSalazar)},
      {kDrainItem, DrainEntry()},
      {ItemKey::ForWantedState("runner-1"),
       WantedState{"luthier", "carnival", "7", "standby"}},
  };
  for (const Case& it : cases) {
    CAPTURE(it.item.ToString());
    ConfigurationFold fold;
    CHECK(
        Fold(&fold, RecordBuilder("p1").Set(fold, it.item, it.value).Build()) ==
        FoldOutcome::kApplied);
    CHECK(ValueOf(fold.configuration(), it.item) == it.value);
    CHECK(fold.RevisionOf(it.item) == 0);
    CHECK(Fold(&fold, RecordBuilder("p2").Set(fold, it.item, {}).Build()) ==
          FoldOutcome::kApplied);
    CHECK(ValueOf(fold.configuration(), it.item) == ItemValue());
    CHECK(fold.RevisionOf(it.item) == 1);
  }
}

TEST_CASE("of two plans with the same base, the later record conflicts") {
  ConfigurationFold fold;
  const std::string first =
      RecordBuilder("a").Set(fold, kModelItem, MakePool(1.5)).Build();
  const std::string second =
      RecordBuilder("b").Set(fold, kModelItem, MakePool(2)).Build();
  CHECK(Fold(&fold, first) == FoldOutcome::kApplied);
  const FoldResult loser = fold.Apply({1, second});
  CHECK(loser.outcome == FoldOutcome::kConflict);
  CHECK(loser.reason == "model/salazar/luthier");
  CHECK(ValueOf(fold.configuration(), kModelItem) == ItemValue(MakePool(1.5)));
  CHECK(fold.OutcomeOf("a") == PlanOutcome{0, true});
  CHECK(fold.OutcomeOf("b") == PlanOutcome{1, false});
}

TEST_CASE("plans on different items don't conflict") {
  ConfigurationFold fold;
  const std::string first =
      RecordBuilder("a").Set(fold, kModelItem, MakePool(1.5)).Build();
  const std::string second =
      RecordBuilder("b").Set(fold, kDrainItem, DrainEntry()).Build();
  CHECK(Fold(&fold, first) == FoldOutcome::kApplied);
  CHECK(Fold(&fold, second) == FoldOutcome::kApplied);
}

TEST_CASE("a conflicting plan changes none of its items") {
  ConfigurationFold fold;
  const std::string both = RecordBuilder("both")
                               .Set(fold, kModelItem, MakePool(2))
                               .Set(fold, kDrainItem, DrainEntry())
                               .Build();
  Fold(&fold, RecordBuilder("a").Set(fold, kModelItem, MakePool(3)).Build());
  CHECK(Fold(&fold, both) == FoldOutcome::kConflict);
  CHECK(fold.configuration().drained_endpoints.empty());
}

TEST_CASE("a stale plan can't restore a removed item") {
  ConfigurationFold fold;
  const std::string stale =
      RecordBuilder("old").Set(fold, kDrainItem, DrainEntry()).Build();
  Fold(&fold, RecordBuilder("on").Set(fold, kDrainItem, DrainEntry()).Build());
  Fold(&fold, RecordBuilder("off").Set(fold, kDrainItem, {}).Build());
  CHECK(Fold(&fold, stale) == FoldOutcome::kConflict);
}

TEST_CASE("a repeated plan or stamp takes effect only once") {
  ConfigurationFold fold;
  const ConfigurationFold empty;
  const std::string record =
      RecordBuilder("a").Set(empty, kDrainItem, DrainEntry()).Build();
  CHECK(Fold(&fold, record) == FoldOutcome::kApplied);
  CHECK(Fold(&fold, record) == FoldOutcome::kDuplicate);
  CHECK(Fold(&fold, RecordBuilder("a").Stamp("other", 7).Build()) ==
        FoldOutcome::kDuplicate);
  CHECK(Fold(&fold, RecordBuilder("c").Stamp("writer-a", 1).Build()) ==
        FoldOutcome::kDuplicate);
  CHECK(fold.OutcomeOf("a") == PlanOutcome{0, true});
}

TEST_CASE("a record repeated after its outcome was evicted changes nothing") {
  ConfigurationFold fold;
  const std::string record =
      RecordBuilder("a").Set(fold, kModelItem, MakePool(1.5)).Build();
  Fold(&fold, record);
  Fold(&fold, RecordBuilder("b").Set(fold, kModelItem, MakePool(2)).Build());
  for (size_t i = 0; i <= ConfigurationFold::kMaxOutcomes; ++i) {
    Fold(&fold, RecordBuilder(fmt::format("p{}", i))
                    .Set(fold, kDrainItem, DrainEntry())
                    .Build());
  }
  CHECK_FALSE(fold.OutcomeOf("a").has_value());
  CHECK(Fold(&fold, record) == FoldOutcome::kConflict);
  CHECK(ValueOf(fold.configuration(), kModelItem) == ItemValue(MakePool(2)));
}

TEST_CASE("a stale plan conflicts even after the removal was evicted") {
  ConfigurationFold fold;
  const ItemKey item = ItemKey::ForDrain("first");
  const std::string stale =
      RecordBuilder("old").Set(fold, item, DrainEntry()).Build();
  for (size_t i = 0; i <= ConfigurationFold::kMaxRemovals; ++i) {
    const ItemKey other =
        i == 0 ? item : ItemKey::ForDrain(fmt::format("e{}", i));
    Fold(&fold,
         RecordBuilder(fmt::format("p{}", i)).Set(fold, other, {}).Build());
  }
  CHECK(Fold(&fold, stale) == FoldOutcome::kConflict);
}

TEST_CASE("a malformed record advances the revision and changes nothing") {
  const std::vector<std::string> bodies = {
      "",
      "no JSON",
      "[]",
      "{}",
      R"({"kind":"other"})",
      R"({"kind":"change"})",
      R"({"kind":"change","stamp":{"writer":"w"},"plan":"p","base":[],"changes":[]})",
      R"({"kind":"change","stamp":{"writer":7},"plan":"p","base":{},"changes":[]})",
      R"({"kind":"change","stamp":{"writer":"w","sequence":1},"plan":"p","base":{},
          "changes":[{"item":"drain/x","value":{}}]})",
      R"({"kind":"change","stamp":{"writer":"w","sequence":1},"plan":"p",
          "base":{"model/salazar":-1},"changes":[]})",
      R"({"kind":"change","stamp":{"writer":"w","sequence":1},"plan":"p",
          "base":{"model/s/m":-1},"changes":[{"item":"model/s/m","value":
          {"pool":"p","load_bound":0.5}}]})",
      R"({"kind":"change","stamp":{"writer":"w","sequence":1},"plan":"p",
          "base":{"wanted/e":-1},"changes":[{"item":"wanted/e","value":
          {"role":"asleep"}}]})",
      R"({"kind":"snapshot","stamp":{"writer":"w","sequence":1},"state":"{}",
          "digest":"0"})",
      std::string(100000, '['),
  };
  for (const std::string& body : bodies) {
    CAPTURE(body.substr(0, 100));
    ConfigurationFold fold;
    CHECK(Fold(&fold, body) == FoldOutcome::kMalformed);
    CHECK(fold.revision() == 0);
    Configuration expected;
    expected.revision = 0;
    CHECK(fold.configuration() == expected);
  }
}

TEST_CASE("a record whose offset is not the next one is ignored") {
  ConfigurationFold fold;
  const std::string body =
      RecordBuilder("a").Set(fold, kDrainItem, DrainEntry()).Build();
  CHECK(fold.Apply({1, body}).outcome == FoldOutcome::kOutOfOrder);
  CHECK(fold.Apply({0, body}).outcome == FoldOutcome::kApplied);
  CHECK(fold.Apply({0, body}).outcome == FoldOutcome::kOutOfOrder);
  CHECK(fold.revision() == 0);
}

TEST_CASE("an organisation belongs to one deployment at a time") {
  ConfigurationFold fold;
  const core::OrganisationId id("coro");
  const ItemKey item = ItemKey::ForOrganisation(id);
  const core::DeploymentId other("mwangaza");
  Fold(&fold,
       RecordBuilder("a").Set(fold, item, MakeOrganisation(kSalazar)).Build());
  Fold(&fold,
       RecordBuilder("b").Set(fold, item, MakeOrganisation(other)).Build());
  const Configuration& configuration = fold.configuration();
  CHECK_FALSE(
      configuration.deployments.at(kSalazar).organisations.contains(id));
  CHECK(configuration.deployments.at(other).organisations.contains(id));
}

TEST_CASE("a restored fold equals the original and has the same snapshot") {
  ConfigurationFold fold;
  Fold(&fold, RecordBuilder("a").Set(fold, kModelItem, MakePool(1.3)).Build());
  Fold(&fold, RecordBuilder("b").Set(fold, kDrainItem, DrainEntry()).Build());
  Fold(&fold, RecordBuilder("c").Set(fold, kDrainItem, {}).Build());
  const auto restored = ConfigurationFold::FromSnapshot(fold.Snapshot());
  REQUIRE(restored.ok());
  CHECK(*restored == fold);
  CHECK(restored->Snapshot() == fold.Snapshot());
}

TEST_CASE("a snapshot record is checked against the state of the fold") {
  ConfigurationFold fold;
  Fold(&fold, RecordBuilder("a").Set(fold, kDrainItem, DrainEntry()).Build());
  ConfigurationFold other;
  Fold(&other, RecordBuilder("x").Set(other, kModelItem, MakePool(2)).Build());
  const std::string own = SnapshotRecordOf(fold);
  CHECK(Fold(&fold, own) == FoldOutcome::kSnapshot);
  ConfigurationFold third;
  Fold(&third, RecordBuilder("a").Set(third, kDrainItem, DrainEntry()).Build());
  CHECK(Fold(&third, SnapshotRecordOf(other)) == FoldOutcome::kSnapshotDiffers);
}

}  // namespace
}  // namespace wasabi::intent
