#include "Services/Control/intent_api.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibIntent/configuration_json.h"
#include "LibIntent/intent.h"
#include "LibIntent/planner.h"
#include "Services/Control/http_reply.h"

namespace wasabi::control {

namespace {

using core::EventCode;
using core::MakeRefusal;
using core::MakeStatus;
using core::ResultCode;
using nlohmann::json;

constexpr size_t kMaxStoredPlans = 1000;
constexpr size_t kPlanIdDigits = 16;
constexpr size_t kMaxIntentBytes = 4U << 20U;
constexpr core::Duration kPlatformRetryAfter = std::chrono::seconds(2);
constexpr core::Duration kStoppingRetryAfter = std::chrono::seconds(1);
constexpr std::string_view kConfirmSuffix = "/confirm";
constexpr int kHttpOk = 200;

std::string_view StateName(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kLeaving:
      return "leaving";
    case membership::MemberState::kGone:
      break;
  }
  return "gone";
}

std::string_view RoleName(membership::MemberRole role) {
  return role == membership::MemberRole::kControl ? "control" : "router";
}

json MembersToJson(const membership::MemberTable& table) {
  json members = json::array();
  for (const membership::Member& member : table.members()) {
    members.push_back({{"id", member.id.value()},
                       {"role", std::string(RoleName(member.role))},
                       {"state", std::string(StateName(member.state))},
                       {"applied_offset", member.applied_offset}});
  }
  return members;
}

json InForceToJson(const InForceCount& count) {
  return {{"applied", count.applied},
          {"total", count.total},
          {"missing", count.missing}};
}

// Returns the members common to all responses to a confirmation.
json ConfirmDetails(const std::string& plan_id,
                    const ConfirmResult& result,
                    bool is_repeat) {
  json details = {{"plan", plan_id}, {"is_repeat", is_repeat}};
  if (result.offset) {
    details["offset"] = *result.offset;
  }
  if (result.in_force.total > 0) {
    details["in_force"] = InForceToJson(result.in_force);
  }
  return details;
}

void RespondConfirm(const std::shared_ptr<http::Exchange>& exchange,
                    const std::string& plan_id,
                    const ConfirmResult& result,
                    bool is_repeat) {
  json details = ConfirmDetails(plan_id, result, is_repeat);
  if (!result.status.ok()) {
    RespondError(exchange, result.status, std::move(details));
    return;
  }
  details["outcome"] = "applied";
  RespondJson(exchange, details);
}

}  // namespace

struct IntentApi::Route {
  std::string_view method;
  std::string_view path;
  // True if `path` has to match only the beginning of the request's path.
  bool is_prefix;
  void (IntentApi::*handler)(const ExchangePtr& exchange,
                             const std::string& rest);
};

IntentApi::IntentApi(IntentApiContext context, IntentApiOptions options)
    : context_(std::move(context)),
      options_(std::move(options)),
      confirm_context_(
          std::make_shared<const ConfirmContext>(context_.confirm)),
      plans_(options_.plan_lifetime, kMaxStoredPlans) {}

void IntentApi::Handle(const ExchangePtr& exchange) {
  static constexpr auto kRoutes = std::to_array<Route>({
      {"POST", "/v1/plans", false, &IntentApi::MakePlan},
      {"POST", "/v1/plans/", true, &IntentApi::HandlePlan},
      {"GET", "/v1/plans/", true, &IntentApi::HandlePlan},
      {"GET", "/v1/status", false, &IntentApi::ShowStatus},
      {"GET", "/v1/configuration", false, &IntentApi::ShowConfiguration},
      {"GET", "/v1/events", false, &IntentApi::ShowEvents},
      {"GET", "/metrics", false, &IntentApi::ShowMetrics},
      {"GET", "/v1/healthz", false, &IntentApi::ShowHealth},
  });
  ++context_.metrics->Counter("control_requests_total");
  const http::Request& request = exchange->request();
  for (const Route& route : kRoutes) {
    const bool is_match = route.is_prefix ? request.path.starts_with(route.path)
                                          : request.path == route.path;
    if (is_match && request.method == route.method) {
      (this->*route.handler)(exchange, request.path.substr(route.path.size()));
      return;
    }
  }
  RespondError(exchange, MakeStatus(ResultCode::kNoSuchResource,
                                    "the path or method is not known"));
}

absl::StatusOr<intent::Plan> IntentApi::BuildPlan(const std::string& body) {
  const absl::StatusOr<json> request = intent::ParseJsonObject(body);
  if (!request.ok()) {
    return MakeStatus(ResultCode::kMalformedRequest,
                      "the body is not a JSON object");
  }
  std::string operator_name;
  std::string name = "intent";
  std::string text;
  for (const absl::Status& status :
       {intent::ReadMember(*request, "operator", &operator_name),
        intent::ReadMember(*request, "name", &name),
        intent::ReadMember(*request, "intent", &text)}) {
    if (!status.ok()) {
      return MakeStatus(ResultCode::kMalformedRequest, core::MessageOf(status));
    }
  }
  if (text.size() > kMaxIntentBytes) {
    return MakeStatus(ResultCode::kRequestTooLarge, "the intent is too large");
  }
  TRY_ASSIGN(intent::Intent parsed, intent::ParseIntent(text, name));
  const std::string plan_id =
      core::ContentDigest(fmt::format("{}/{}", options_.writer, next_plan_++))
          .substr(0, kPlanIdDigits);
  return intent::MakePlan({plan_id, operator_name, std::move(parsed)},
                          context_.confirm.follower->tracker().fold(),
                          context_.pools());
}

void IntentApi::MakePlan(const ExchangePtr& exchange,
                         const std::string& /*rest*/) {
  if (is_stopping_) {
    RespondError(exchange,
                 MakeRefusal(ResultCode::kStopping, "the host is shutting down",
                             kStoppingRetryAfter));
    return;
  }
  if (!context_.confirm.follower->is_synchronized()) {
    RespondError(exchange,
                 MakeRefusal(ResultCode::kPlatformUnavailable,
                             "the configuration has not been read yet",
                             kPlatformRetryAfter));
    return;
  }
  absl::StatusOr<intent::Plan> plan = BuildPlan(exchange->request().body);
  if (!plan.ok()) {
    context_.events->Record(EventCode::kBadInput, "",
                            core::MessageOf(plan.status()));
    RespondError(exchange, plan.status());
    return;
  }
  context_.events->Record(
      EventCode::kPlanMade, "",
      fmt::format("plan={} operator={} revision={} changes={}", plan->id,
                  plan->operator_name, plan->revision, plan->changes.size()));
  const json answer = intent::PlanToJson(*plan);
  plans_.Add(context_.confirm.loop->Now(), std::move(plan).value());
  RespondJson(exchange, answer);
}

void IntentApi::HandlePlan(const ExchangePtr& exchange,
                           const std::string& rest) {
  const bool is_post = exchange->request().method == "POST";
  if (!is_post) {
    ShowPlan(exchange, rest);
    return;
  }
  if (!rest.ends_with(kConfirmSuffix)) {
    RespondError(exchange, MakeStatus(ResultCode::kNoSuchResource,
                                      "the path or method is not known"));
    return;
  }
  Confirm(exchange, rest.substr(0, rest.size() - kConfirmSuffix.size()));
}

void IntentApi::ShowPlan(const ExchangePtr& exchange,
                         const std::string& plan_id) {
  const intent::ConfigurationFold& fold =
      context_.confirm.follower->tracker().fold();
  const auto plan = plans_.Find(context_.confirm.loop->Now(), plan_id);
  json answer =
      plan.ok() ? intent::PlanToJson(**plan) : json{{"plan", plan_id}};
  if (const auto outcome = fold.OutcomeOf(plan_id)) {
    answer["state"] = outcome->is_applied ? "applied" : "conflict";
    answer["offset"] = outcome->offset;
    answer["in_force"] = InForceToJson(
        CountInForce(*context_.confirm.members(), outcome->offset));
    RespondJson(exchange, answer);
    return;
  }
  if (!plan.ok()) {
    RespondError(exchange, plan.status());
    return;
  }
  answer["state"] = sessions_.contains(plan_id) ? "confirming" : "planned";
  RespondJson(exchange, answer);
}

bool IntentApi::RespondIfDecided(const ExchangePtr& exchange,
                                 const std::string& plan_id) {
  const intent::ConfigurationFold& fold =
      context_.confirm.follower->tracker().fold();
  const auto outcome = fold.OutcomeOf(plan_id);
  if (!outcome) {
    return false;
  }
  ConfirmResult result;
  result.offset = outcome->offset;
  if (outcome->is_applied) {
    result.in_force =
        CountInForce(*context_.confirm.members(), outcome->offset);
  } else {
    result.status = MakeStatus(
        ResultCode::kConflict,
        fmt::format("an item of plan {} has changed since the plan was made",
                    plan_id));
  }
  RespondConfirm(exchange, plan_id, result, /*is_repeat=*/true);
  return true;
}

absl::Status IntentApi::CheckConfirmable(const intent::Plan& plan) const {
  if (is_stopping_) {
    return MakeRefusal(ResultCode::kStopping, "the host is shutting down",
                       kStoppingRetryAfter);
  }
  const intent::ConfigurationFold& fold =
      context_.confirm.follower->tracker().fold();
  for (const auto& [item, revision] : plan.base) {
    if (fold.RevisionOf(item) != revision) {
      return MakeStatus(
          ResultCode::kConflict,
          fmt::format("{} was changed at offset {}, after the plan was made",
                      item.ToString(), fold.RevisionOf(item)));
    }
  }
  if (!context_.confirm.follower->is_platform_up()) {
    return MakeRefusal(ResultCode::kPlatformUnavailable,
                       "the platform's log can't be reached; nothing has "
                       "changed",
                       kPlatformRetryAfter);
  }
  return absl::OkStatus();
}

void IntentApi::Confirm(const ExchangePtr& exchange,
                        const std::string& plan_id) {
  const auto session = sessions_.find(plan_id);
  if (session != sessions_.end()) {
    session->second->AddCallback(
        [exchange, plan_id](const ConfirmResult& result) {
          RespondConfirm(exchange, plan_id, result, /*is_repeat=*/true);
        });
    return;
  }
  if (RespondIfDecided(exchange, plan_id)) {
    return;
  }
  const auto plan = plans_.Find(context_.confirm.loop->Now(), plan_id);
  if (!plan.ok()) {
    RespondError(exchange, plan.status(), {{"plan", plan_id}});
    return;
  }
  const absl::Status status = CheckConfirmable(**plan);
  if (!status.ok()) {
    RespondError(exchange, status, {{"plan", plan_id}});
    return;
  }
  if ((*plan)->changes.empty()) {
    RespondJson(exchange, {{"plan", plan_id}, {"outcome", "unchanged"}});
    return;
  }
  StartSession(exchange, **plan);
}

void IntentApi::StartSession(const ExchangePtr& exchange,
                             const intent::Plan& plan) {
  // The stamp is derived from the plan id, so a repeated confirmation appends
  // an identical record, which is recognised as a duplicate.
  const std::string record = intent::EncodeRecord(
      plan.ToRecord({fmt::format("{}/{}", options_.writer, plan.id), 1}));
  const std::string plan_id = plan.id;
  const auto session =
      ConfirmSession::Create(confirm_context_, plan_id, record);
  sessions_[plan_id] = session;
  session->AddCallback([this, exchange, plan_id](const ConfirmResult& result) {
    sessions_.erase(plan_id);
    RespondConfirm(exchange, plan_id, result, /*is_repeat=*/false);
  });
  session->Start();
}

void IntentApi::ShowStatus(const ExchangePtr& exchange,
                           const std::string& /*rest*/) {
  const intent::ConfigurationFollower& follower = *context_.confirm.follower;
  const membership::MemberTableSnapshot members = context_.confirm.members();
  const int64_t applied = follower.applied_offset();
  RespondJson(
      exchange,
      {{"host", options_.host},
       {"applied_offset", applied},
       {"log_end", follower.tracker().log_end()},
       {"is_platform_up", follower.is_platform_up()},
       {"is_synchronized", follower.is_synchronized()},
       {"is_searching_snapshot", follower.tracker().is_searching_snapshot()},
       {"in_force", InForceToJson(CountInForce(*members, applied))},
       {"confirmations_in_flight", sessions_.size()},
       {"pending_orders", context_.pending_orders()},
       {"members", MembersToJson(*members)}});
}

void IntentApi::ShowConfiguration(const ExchangePtr& exchange,
                                  const std::string& /*rest*/) {
  RespondJson(exchange, intent::ConfigurationToJson(
                            *context_.confirm.follower->current()));
}

void IntentApi::ShowEvents(const ExchangePtr& exchange,
                           const std::string& /*rest*/) {
  const auto& query = exchange->request().query;
  const auto it = query.find("from");
  const uint64_t from =
      it == query.end() ? 0
                        : core::ParseNumber<uint64_t>(it->second).value_or(0);
  exchange->Respond(kHttpOk, {{"Content-Type", "application/json"}},
                    core::EventsToJson(context_.events->process_name(),
                                       context_.events->Since(from)));
}

void IntentApi::ShowMetrics(const ExchangePtr& exchange,
                            const std::string& /*rest*/) {
  exchange->Respond(kHttpOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                    context_.metrics->ToText());
}

void IntentApi::ShowHealth(const ExchangePtr& exchange,
                           const std::string& /*rest*/) {
  RespondJson(exchange,
              {{"host", options_.host}, {"is_stopping", is_stopping_}});
}

}  // namespace wasabi::control
