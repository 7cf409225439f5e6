// Benchmarks the configuration fold for several numbers of organisations: time
// per record, memory of a configuration, and size and time of snapshots.

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibIntent/configuration_fold.h"
#include "LibIntent/configuration_record.h"

DEFINE_string(organisations,
              "10,1000,4250,8500,17000",
              "comma-separated numbers of organisations to measure");
DEFINE_int32(
    records,
    2000,
    "number of change records to fold for each number of organisations");

namespace wasabi::intent {
namespace {

using Clock = std::chrono::steady_clock;

// The results for one number of organisations.
struct Row {
  int64_t organisations = 0;
  double fold_ns_per_record = 0;
  size_t configuration_bytes = 0;
  double publish_ms = 0;
  size_t snapshot_bytes = 0;
  double snapshot_ms = 0;
  double load_ms = 0;
};

double Milliseconds(Clock::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

ItemKey OrganisationItem(int64_t n) {
  return ItemKey::ForOrganisation(
      core::OrganisationId(fmt::format("organisation-{:05}", n)));
}

// Returns a change record that sets the weight of one organisation.
std::string MakeRecord(const ConfigurationFold& fold,
                       int64_t organisation,
                       int64_t number) {
  constexpr int64_t kWeights = 7;
  const ItemKey item = OrganisationItem(organisation);
  ChangeRecord record;
  record.stamp = {"bench", number};
  record.plan_id = fmt::format("plan-{}", number);
  record.operator_name = "bench";
  record.base[item] = fold.RevisionOf(item);
  record.changes.push_back(
      {item,
       OrganisationEntry{
           core::DeploymentId(organisation % 2 == 0 ? "salazar" : "mwangaza"),
           Organisation{1.0 + static_cast<double>(number % kWeights), 0}}});
  return EncodeRecord(record);
}

ConfigurationFold FoldOfOrganisations(int64_t organisations) {
  ConfigurationFold fold;
  for (int64_t n = 0; n < organisations; ++n) {
    fold.Apply({n, MakeRecord(fold, n, n)});
  }
  return fold;
}

// Returns the mean time to fold one record, in nanoseconds.
double FoldNanoseconds(ConfigurationFold fold, int64_t organisations) {
  std::vector<std::string> bodies;
  ConfigurationFold ahead = fold;
  for (int64_t i = 0; i < FLAGS_records; ++i) {
    const int64_t offset = organisations + i;
    bodies.push_back(MakeRecord(ahead, i % organisations, offset));
    ahead.Apply({offset, bodies.back()});
  }
  const Clock::time_point start = Clock::now();
  for (int64_t i = 0; i < FLAGS_records; ++i) {
    fold.Apply({organisations + i, bodies[static_cast<size_t>(i)]});
  }
  return std::chrono::duration<double, std::nano>(Clock::now() - start)
             .count() /
         FLAGS_records;
}

Row Measure(int64_t organisations) {
  Row row;
  row.organisations = organisations;
  const ConfigurationFold fold = FoldOfOrganisations(organisations);
  row.fold_ns_per_record = FoldNanoseconds(fold, organisations);

  const size_t before = mallinfo2().uordblks;
  Clock::time_point start = Clock::now();
  const auto copy = std::make_shared<const Configuration>(fold.configuration());
  row.publish_ms = Milliseconds(Clock::now() - start);
  row.configuration_bytes = mallinfo2().uordblks - before;

  start = Clock::now();
  const std::string snapshot = fold.Snapshot();
  row.snapshot_ms = Milliseconds(Clock::now() - start);
  row.snapshot_bytes = snapshot.size();

  start = Clock::now();
  const bool is_same = *ConfigurationFold::FromSnapshot(snapshot) == fold;
  row.load_ms = Milliseconds(Clock::now() - start);
  if (!is_same) {
    std::cerr
        << "the fold restored from the snapshot differs from the original\n";
  }
  return row;
}

void Run() {
  std::cout << "| organisations | fold ns/record | configuration bytes | copy "
               "ms | snapshot bytes | snapshot ms | load ms |\n"
               "| ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n";
  for (const std::string& text : core::SplitList(FLAGS_organisations)) {
    const Row row = Measure(core::ParseNumber<int64_t>(text).value_or(1));
    std::cout << fmt::format(
        "| {} | {:.0f} | {} | {:.2f} | {} | {:.1f} | {:.1f} |\n",
        row.organisations, row.fold_ns_per_record, row.configuration_bytes,
        row.publish_ms, row.snapshot_bytes, row.snapshot_ms, row.load_ms);
  }
}

}  // namespace
}  // namespace wasabi::intent

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "benchmarks the configuration fold for several numbers of organisations");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  wasabi::intent::Run();
  return 0;
}
