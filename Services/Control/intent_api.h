// The HTTP interface for operators: plans, confirmations, status. A controller
// of its own state (plans, confirmations on their way) without sockets.

#ifndef SERVICES_CONTROL_INTENT_API_H_
#define SERVICES_CONTROL_INTENT_API_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "LibCore/event_ring.h"
#include "LibCore/metrics.h"
#include "LibHttp/exchange.h"
#include "LibIntent/pool_members.h"
#include "Services/Control/confirm_session.h"
#include "Services/Control/plan_store.h"
#include "absl/status/statusor.h"

namespace wasabi::control {

struct IntentApiOptions {
  // Names this daemon in answers.
  std::string host;
  // Names this life of the daemon in records.
  std::string writer;
  core::Duration plan_lifetime = std::chrono::minutes(15);
};

// What the interface works with; all of it outlives the interface.
struct IntentApiContext {
  ConfirmContext confirm;
  core::EventRing* events = nullptr;
  core::Metrics* metrics = nullptr;
  std::function<const intent::PoolMembers&()> pools;
  // Endpoints that are not in their wanted state yet.
  std::function<size_t()> pending_orders;
};

class IntentApi {
 public:
  IntentApi(IntentApiContext context, IntentApiOptions options);

  // Answers one request, now or later.
  void Handle(const std::shared_ptr<http::Exchange>& exchange);

  // Refuses new plans and confirmations from now on.
  void BeginStop() { is_stopping_ = true; }
  size_t confirmations_in_flight() const { return sessions_.size(); }

 private:
  using ExchangePtr = std::shared_ptr<http::Exchange>;
  struct Route;

  void MakePlan(const ExchangePtr& exchange, const std::string& rest);
  void HandlePlan(const ExchangePtr& exchange, const std::string& rest);
  void ShowPlan(const ExchangePtr& exchange, const std::string& plan_id);
  void Confirm(const ExchangePtr& exchange, const std::string& plan_id);
  void ShowStatus(const ExchangePtr& exchange, const std::string& rest);
  void ShowConfiguration(const ExchangePtr& exchange, const std::string& rest);
  void ShowEvents(const ExchangePtr& exchange, const std::string& rest);
  void ShowMetrics(const ExchangePtr& exchange, const std::string& rest);
  void ShowHealth(const ExchangePtr& exchange, const std::string& rest);

  // Answers a confirmation whose plan was settled before; returns whether.
  bool AnswerSettled(const ExchangePtr& exchange, const std::string& plan_id);
  absl::Status CheckConfirmable(const intent::Plan& plan) const;
  void StartSession(const ExchangePtr& exchange, const intent::Plan& plan);
  absl::StatusOr<intent::Plan> PlanFrom(const std::string& body);

  const IntentApiContext context_;
  const IntentApiOptions options_;
  std::shared_ptr<const ConfirmContext> confirm_context_;
  PlanStore plans_;
  std::map<std::string, std::shared_ptr<ConfirmSession>> sessions_;
  int64_t next_plan_ = 1;
  bool is_stopping_ = false;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_INTENT_API_H_
