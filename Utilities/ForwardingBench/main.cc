// wasabi_forwarding_bench: measures the time to find a route and an
// organisation in routing configurations of different sizes.

#include <gflags/gflags.h>

#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibCore/time.h"
#include "LibForwarding/route_table.h"

DEFINE_int32(lookups, 1000000, "lookups per table row");

namespace wasabi::forwarding {
namespace {

constexpr size_t kHosts = 4;

RouteTableView MakeTable(size_t routes, size_t organisations) {
  RouteTableBuilder builder(1);
  for (size_t i = 0; i < routes; ++i) {
    Route route;
    route.host = fmt::format("host{}.test", i % kHosts);
    route.path_prefix = fmt::format("/route{}/", i);
    builder.AddRoute(std::move(route));
  }
  for (size_t i = 0; i < organisations; ++i) {
    builder.AddOrganisation(
        {.id = core::OrganisationId(fmt::format("o{}", i)), .priority = {}},
        {fmt::format("key{}", i)});
  }
  return builder.Build();
}

void PrintRow(size_t routes, size_t organisations) {
  const RouteTableView table = MakeTable(routes, organisations);
  constexpr size_t kTargets = 1000;
  std::vector<std::string> hosts;
  std::vector<std::string> targets;
  std::vector<std::string> keys;
  for (size_t i = 0; i < kTargets; ++i) {
    const size_t route = i % routes;
    hosts.push_back(fmt::format("host{}.test", route % kHosts));
    targets.push_back(fmt::format("/route{}/a/b?c=d", route));
    keys.push_back(fmt::format("key{}", i % organisations));
  }
  size_t found = 0;
  const core::TimePoint start = core::Clock::now();
  for (int i = 0; i < FLAGS_lookups; ++i) {
    const size_t n = static_cast<size_t>(i) % kTargets;
    found += table->FindRoute(hosts[n], targets[n]) != nullptr ? 1 : 0;
    found += table->FindOrganisation(keys[n]) != nullptr ? 1 : 0;
  }
  const double seconds = core::ToSeconds(core::Clock::now() - start);
  std::cout << fmt::format("{} | {} | {:.0f} | {}\n", routes, organisations,
                           seconds / FLAGS_lookups * 1e9,
                           found == 2 * static_cast<size_t>(FLAGS_lookups));
}

}  // namespace
}  // namespace wasabi::forwarding

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures the time of lookups in routing configurations");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::cout << "routes | organisations | ns per lookup of both | all found\n";
  for (const size_t routes : {10, 1000}) {
    for (const size_t organisations : {10, 17000}) {
      wasabi::forwarding::PrintRow(routes, organisations);
    }
  }
  return 0;
}
