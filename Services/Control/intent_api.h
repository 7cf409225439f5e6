// The HTTP API for operators: plans, confirmations and status. It owns the
// plans and the confirmations in flight, and receives its requests from the
// server, without using sockets.

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
  // Identifies this daemon in responses.
  std::string host;
  // Identifies this run of the daemon in log records.
  std::string writer;
  // How long a plan can be confirmed after it was made.
  core::Duration plan_lifetime = std::chrono::minutes(15);
};

// The dependencies of the API; all of them must outlive it.
struct IntentApiContext {
  ConfirmContext confirm;
  core::EventRing* events = nullptr;
  core::Metrics* metrics = nullptr;
  // Returns the live endpoints of each pool.
  std::function<const intent::PoolMembers&()> pools;
  // Returns the number of endpoints that have not reached their wanted state.
  std::function<size_t()> pending_orders;
};

class IntentApi {
 public:
  IntentApi(IntentApiContext context, IntentApiOptions options);

  // Routes one request to its handler. A confirmation may be answered after
  // this call has returned; all other requests are answered before.
  void Handle(const std::shared_ptr<http::Exchange>& exchange);

  // Refuses new plans and confirmations from now on. Confirmations in flight
  // continue.
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

  // Answers the confirmation if the outcome of the plan is already known from
  // the log. Returns whether it did.
  bool RespondIfDecided(const ExchangePtr& exchange,
                        const std::string& plan_id);
  // Returns OK if the plan can be confirmed now. Errors: kStopping; kConflict
  // if an item of the plan has changed; kPlatformUnavailable.
  absl::Status CheckConfirmable(const intent::Plan& plan) const;
  void StartSession(const ExchangePtr& exchange, const intent::Plan& plan);
  // Parses the body of a plan request and makes the plan.
  absl::StatusOr<intent::Plan> BuildPlan(const std::string& body);

  const IntentApiContext context_;
  const IntentApiOptions options_;
  std::shared_ptr<const ConfirmContext> confirm_context_;
  PlanStore plans_;
  // The confirmations in flight by plan id.
  std::map<std::string, std::shared_ptr<ConfirmSession>> sessions_;
  int64_t next_plan_ = 1;
  bool is_stopping_ = false;
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_INTENT_API_H_
