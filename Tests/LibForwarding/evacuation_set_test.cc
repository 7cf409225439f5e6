// Guards against evacuations that are lost, or that end too early, while the
// topic with their records is compacted, restored or read out of order.

#include "LibForwarding/evacuation_set.h"

#include <catch2/catch.hpp>
#include <functional>

namespace wasabi::forwarding {
namespace {

using core::seconds;

const core::DataCentreId kZone("z2");
constexpr core::TimePoint kStart = core::TimePoint() + seconds(1000);

EvacuationRecord At(platform::Offset offset) {
  return {.data_centre = kZone, .offset = offset};
}

struct Case {
  const char* what;
  std::function<void(EvacuationSet& set)> apply;
  bool is_evacuated;
};

TEST_CASE("the newest record decides whether a data centre is evacuated") {
  const Case cases[] = {
      {"written", [](EvacuationSet& set) { set.Put(At(5)); }, true},
      {"written and dropped",
       [](EvacuationSet& set) {
         set.Put(At(5));
         set.Drop(At(6));
       },
       false},
      {"dropped and written in quick succession",
       [](EvacuationSet& set) {
         set.Put(At(5));
         set.Drop(At(6));
         set.Put(At(7));
       },
       true},
      {"a snapshot already has the record after an older removal",
       [](EvacuationSet& set) {
         set.Replace({At(7)}, 6, false, kStart);
         set.Drop(At(6));
       },
       true},
      {"dropped again after such a snapshot",
       [](EvacuationSet& set) {
         set.Replace({At(7)}, 6, false, kStart);
         set.Drop(At(6));
         set.Drop(At(8));
       },
       false},
      {"missing from a later snapshot",
       [](EvacuationSet& set) {
         set.Put(At(5));
         set.Replace({}, 9, false, kStart);
       },
       false},
      {"in a compacted snapshot",
       [](EvacuationSet& set) {
         set.Put(At(5));
         set.Replace({At(5)}, 900, false, kStart);
       },
       true},
      {"newer than a snapshot that lacks it",
       [](EvacuationSet& set) {
         set.Put(At(5));
         set.Replace({}, 5, false, kStart);
       },
       true},
      {"missing from a restored topic",
       [](EvacuationSet& set) {
         set.Put(At(50));
         set.Replace({}, 3, true, kStart);
         set.Expire(kStart + kRestoredEvacuationLifetime - seconds(1));
       },
       true},
      {"missing from a restored topic for too long",
       [](EvacuationSet& set) {
         set.Put(At(50));
         set.Replace({}, 3, true, kStart);
         set.Expire(kStart + kRestoredEvacuationLifetime);
       },
       false},
      {"missing from the second snapshot of a restored topic",
       [](EvacuationSet& set) {
         set.Put(At(50));
         set.Replace({}, 3, true, kStart);
         set.Replace({}, 4, false, kStart);
       },
       true},
      {"written again to a restored topic, at a smaller offset",
       [](EvacuationSet& set) {
         set.Put(At(50));
         set.Replace({}, 3, true, kStart);
         set.Put(At(3));
         set.Expire(kStart + 2 * kRestoredEvacuationLifetime);
       },
       true},
      {"written again to a restored topic and dropped",
       [](EvacuationSet& set) {
         set.Put(At(50));
         set.Replace({At(3)}, 4, true, kStart);
         set.Drop(At(4));
       },
       false},
      {"dropped in a restored topic that lacked it",
       [](EvacuationSet& set) {
         set.Put(At(50));
         set.Replace({}, 3, true, kStart);
         set.Drop(At(3));
       },
       false},
  };
  for (const Case& row : cases) {
    INFO(row.what);
    EvacuationSet set;
    row.apply(set);
    CHECK(set.data_centres().contains(kZone) == row.is_evacuated);
  }
}

TEST_CASE("each change of the evacuated data centres is told once") {
  using Changes = EvacuationSet::Changes;
  EvacuationSet set;
  const Changes began = {{kZone, EvacuationChangeKind::kBegan}};
  const Changes retained = {{kZone, EvacuationChangeKind::kRetained}};
  const Changes ended = {{kZone, EvacuationChangeKind::kEnded}};
  CHECK(set.Put(At(5)) == began);
  CHECK(set.Put(At(6)).empty());
  CHECK(set.Replace({At(6)}, 7, false, kStart).empty());
  CHECK(set.Replace({}, 3, true, kStart) == retained);
  CHECK(set.Expire(kStart).empty());
  CHECK(set.Expire(kStart + kRestoredEvacuationLifetime) == ended);
  CHECK(set.Drop(At(8)).empty());
}

}  // namespace
}  // namespace wasabi::forwarding
