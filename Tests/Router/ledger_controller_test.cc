#include "Services/Router/ledger_controller.h"

#include <catch2/catch.hpp>
#include <optional>

#include "LibCore/result_code.h"

namespace wasabi::router {
namespace {

using core::ResultCode;

struct UnknownOutcomeCase {
  std::string name;
  int64_t deadline_ms;
};

TEST_CASE("a call that reaches no owner ends with an unknown outcome") {
  const UnknownOutcomeCase it =
      GENERATE(UnknownOutcomeCase{"no owner is known", 1000},
               UnknownOutcomeCase{"the deadline has passed", 0});
  INFO(it.name);
  core::EventLoop loop;
  LedgerContext context;
  context.loop = &loop;
  context.self = core::HostId("router-1");
  context.members = [] {
    return std::make_shared<const membership::MemberTable>();
  };
  LedgerController controller(std::move(context), 1);
  ledger::LedgerCall call;
  call.organisation = core::OrganisationId("quito-schools");
  call.key = "key";
  call.deadline_ms = it.deadline_ms;
  std::optional<ledger::LedgerOutcome> outcome;
  controller.Submit(call,
                    [&](const ledger::LedgerOutcome& told) { outcome = told; });
  REQUIRE(outcome);
  CHECK(outcome->result_code() == ResultCode::kOutcomeUnknown);
  CHECK(outcome->retry_after_ms > 0);
}

}  // namespace
}  // namespace wasabi::router
