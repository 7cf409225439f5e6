#include "Tests/Integration/test_fleet.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <utility>

#include "LibCore/text.h"

namespace wasabi::support {

FleetOptions ThinFleetOptions() {
  FleetOptions options;
  const char* binaries = std::getenv("WASABI_BINARIES");
  options.binary_folder = binaries == nullptr ? "build/bin" : binaries;
  const auto deployment = FindDeployment("salazar");
  REQUIRE(deployment.ok());
  options.deployment = *deployment;
  options.engines = 3;
  options.services = 1;
  return options;
}

std::unique_ptr<Fleet> StartFleet(const FleetOptions& options) {
  auto fleet = Fleet::Create(options);
  INFO(core::MessageOf(fleet.status()));
  REQUIRE(fleet.ok());
  return std::move(*fleet);
}

TimeLineOnFailure::~TimeLineOnFailure() {
  if (fleet_ == nullptr) {
    return;
  }
  fleet_->KeepWorkFolder();
  std::cerr << "seed " << fleet_->options().seed
            << ", time line: " << fleet_->CollectTimeLine() << "\n";
}

}  // namespace wasabi::support
