// platform_soak: runs real hosts under seeded faults and checks what callers
// and endpoints observe.

#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

#include "LibCore/text.h"
#include "Tests/Soak/soak_run.h"

DEFINE_uint64(seed, 1, "seed of the faults and of the load");
DEFINE_string(router, "build/bin/wasabi_router", "the program under test");
DEFINE_string(
    work,
    "/tmp/wasabi-soak",
    "folder for settings and logs of the hosts; emptied at the start");
DEFINE_uint64(hosts, 4, "hosts of the fleet");
DEFINE_uint64(model_endpoints, 4, "model endpoints");
DEFINE_uint64(plain_endpoints, 3, "endpoints of each of two plain services");
DEFINE_double(rate, 60, "requests a second");
DEFINE_int32(family,
             -1,
             "family of faults, 0 to 6 (5: refusals and renewals, 6: grants, "
             "budgets and malformed answers); by default the seed selects one "
             "of the first five");

namespace wasabi::soak {
namespace {

bool IsFamily(const char* /*flag*/, int32_t value) {
  return value <= static_cast<int32_t>(kRebirthFamily);
}

SoakOptions OptionsFromFlags() {
  SoakOptions options;
  options.seed = FLAGS_seed;
  if (FLAGS_family >= 0) {
    options.family = FLAGS_family;
  }
  options.hosts = FLAGS_hosts;
  options.model_endpoints = FLAGS_model_endpoints;
  options.plain_endpoints = FLAGS_plain_endpoints;
  options.requests_per_second = FLAGS_rate;
  options.router_binary = FLAGS_router;
  options.work_folder = fmt::format("{}/{}", FLAGS_work, FLAGS_seed);
  return options;
}

int RunSoak() {
  const SoakOptions options = OptionsFromFlags();
  std::filesystem::remove_all(options.work_folder);
  std::filesystem::create_directories(options.work_folder);
  core::EventLoop loop;
  const auto run = SoakRun::Create(&loop, options);
  if (!run.ok()) {
    std::cerr << "platform_soak: " << core::MessageOf(run.status()) << "\n";
    return 2;
  }
  const SoakResult result = (*run)->Run();
  for (const Violation& it : result.violations) {
    std::cout << fmt::format("violated: {}: {}\n", it.guarantee, it.detail);
  }
  std::cout << fmt::format(
      "seed={} calls={} served={} refused={} resumed={} continued={} "
      "violations={}\n",
      options.seed, result.calls, result.served, result.refused, result.resumed,
      result.continued, result.violations.size());
  std::cout << fmt::format(
      "renewals={} copies={} own_copies={} again_at_address={} "
      "again_on_connection={}\n",
      result.refusals.renewals, result.refusals.copies,
      result.refusals.own_copies, result.refusals.again_at_address,
      result.refusals.again_on_connection);
  if (!result.violations.empty()) {
    std::cout << "logs of the hosts: " << options.work_folder << "\n";
    return 1;
  }
  std::filesystem::remove_all(options.work_folder);
  return 0;
}

}  // namespace
}  // namespace wasabi::soak

DEFINE_validator(family, &wasabi::soak::IsFamily);

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Runs real hosts against stand-ins of the platform, injects seeded "
      "faults, and checks what callers and endpoints observe.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wasabi::soak::RunSoak();
}
