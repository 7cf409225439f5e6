#include "Services/Router/router.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Services/Router/error_response.h"
#include "Services/Router/identify_filter.h"
#include "Services/Router/organisation_limit_filter.h"
#include "Services/Router/parse_chat_filter.h"
#include "Services/Router/reattach_session.h"
#include "Services/Router/resolve_filters.h"
#include "Services/Router/service_session.h"

namespace wasabi::router {

namespace {

using core::EventCode;
using core::ResultCode;
using membership::MemberRole;

constexpr core::Duration kTickPeriod = std::chrono::milliseconds(25);
constexpr core::Duration kSlowTickPeriod = std::chrono::milliseconds(250);
// Time after which a condition reported by an owner expires unless it is
// repeated.
constexpr core::Duration kConditionLifetime = std::chrono::seconds(5);
// Additional time to accept connections during shutdown, for callers that use a
// GET /v1/hosts response until its lifetime ends.
constexpr core::Duration kStopMargin = std::chrono::seconds(1);

// Key prefix of endpoint facts in gossip; the endpoint id follows it.
constexpr std::string_view kEndpointFactPrefix = "endpoint/";

uint64_t WallMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

uint32_t CountRouters(const membership::MemberTable& members) {
  const auto count =
      std::count_if(members.members().begin(), members.members().end(),
                    [](const membership::Member& member) {
                      return member.role == MemberRole::kRouter &&
                             member.state != membership::MemberState::kLeaving;
                    });
  return std::max<uint32_t>(1, static_cast<uint32_t>(count));
}

}  // namespace

absl::StatusOr<std::unique_ptr<Router>> Router::Create(
    core::EventLoop* loop,
    const RouterSettings& settings) {
  std::unique_ptr<Router> router(new Router(loop, settings));
  TRY(router->Start());
  return router;
}

Router::Router(core::EventLoop* loop, const RouterSettings& settings)
    : loop_(loop),
      settings_(settings),
      incarnation_(WallMilliseconds()),
      events_(settings.host.value(), settings.event_capacity),
      data_client_(loop),
      control_client_(loop),
      ledger_client_(loop),
      answers_(settings.answer_lifetime, settings.answer_memory_bytes) {}

// FIXME: Destroying a router with work in flight crashes, because the link ends
// its calls after the components that receive the result are destroyed.
// Graceful shutdown, the only way to leave the loop, leaves no work in flight.
Router::~Router() {
  if (configuration_ != nullptr) {
    configuration_->Stop();
  }
}

absl::Status Router::Start() {
  platform::HttpLogClientOptions log_options;
  log_options.address = settings_.platform_address;
  log_client_ =
      std::make_unique<platform::HttpLogClient>(&control_client_, log_options);
  ledger_log_client_ =
      std::make_unique<platform::HttpLogClient>(&ledger_client_, log_options);
  host_list_client_ = std::make_unique<platform::HttpHostListClient>(
      &control_client_, settings_.platform_address);
  configuration_ =
      intent::ConfigurationFollower::Create(loop_, log_client_.get(), &events_);
  TRY(StartLink());
  TRY(StartMembership());
  StartCatchUp();
  StartOwners();
  StartFrontend();
  TRY(StartHttp());
  RegisterGauges();
  configuration_->AddObserver(
      [this](const intent::ConfigurationView&) { OnFleetChanged(); });
  configuration_->AddStepObserver([this](const intent::FoldStep& step) {
    if (step.result.outcome == intent::FoldOutcome::kMalformed) {
      ++metrics_.Counter("records_skipped_total");
    }
  });
  configuration_->Start();
  host_list_ = std::make_unique<HostListPoller>(
      loop_, host_list_client_.get(), &directory_, settings_.host_list_period,
      [this] {
        UpdateSeeds();
        OnFleetChanged();
      });
  tick_ = loop_->NewTimer([this] { OnTick(); });
  tick_->StartRepeating(kTickPeriod);
  slow_tick_ = loop_->NewTimer([this] { OnSlowTick(); });
  slow_tick_->StartRepeating(kSlowTickPeriod);
  events_.Record(EventCode::kProcessStarted, "",
                 fmt::format("http={}", settings_.http_address.ToString()));
  return absl::OkStatus();
}

absl::Status Router::StartLink() {
  link::LinkOptions options;
  options.listen_address = settings_.link_address;
  options.local_name = settings_.host.value();
  options.event_ring = &events_;
  TRY_ASSIGN(link_,
             link::LinkNode::Create(
                 loop_, options,
                 [this](uint32_t ip) { return gossip_->table()->HasIp(ip); },
                 [this](const std::shared_ptr<link::InboundCall>& call) {
                   OnInboundCall(call);
                 }));
  return absl::OkStatus();
}

absl::Status Router::StartMembership() {
  membership::Member self;
  self.id = settings_.host;
  self.data_centre = settings_.data_centre;
  self.role = MemberRole::kRouter;
  self.gossip_address = settings_.gossip_address;
  self.link_address = settings_.advertised_link_address;
  self.http_address = settings_.advertised_http_address;
  self.incarnation = incarnation_;
  membership::GossipOptions options;
  options.self = self;
  TRY_ASSIGN(
      gossip_,
      membership::GossipNode::Create(
          loop_, options,
          core::StableHash(settings_.host.value(), incarnation_), &events_));
  pool_loads_ = std::make_unique<load::PoolLoadService>(
      loop_, gossip_.get(), load::PoolLoadOptions());
  facts_ = std::make_unique<membership::FactService>(
      loop_, gossip_.get(), membership::FactOptions(),
      core::StableHash(settings_.host.value(), incarnation_ + 1));
  facts_->SetObserver([this](const std::string& key, const std::string& value) {
    OnFact(key, value);
  });
  UpdateSeeds();
  gossip_->OnChange(
      [this](const membership::MemberTableSnapshot&) { OnFleetChanged(); });
  return absl::OkStatus();
}

void Router::StartCatchUp() {
  if (settings_.IsDisabled("peer_configuration")) {
    return;
  }
  catch_up_ = std::make_unique<intent::ConfigurationCatchUp>(
      loop_, link_.get(), configuration_, settings_.host,
      [this] { return gossip_->table(); });
}

void Router::StartOwners() {
  quarantine_ = std::make_unique<QuarantineController>(
      loop_, &events_, link_.get(), settings_.host,
      [this] { return gossip_->table(); });
  OwnerContext context;
  context.loop = loop_;
  context.data_client = &data_client_;
  context.control_client = &control_client_;
  context.events = &events_;
  context.metrics = &metrics_;
  context.answers = &answers_;
  context.settings = &settings_;
  context.pool_demand = [this](const core::PoolId& pool) {
    return pool_loads_->Total(pool);
  };
  context.report_condition = [this](const core::RunnerId& runner,
                                    EndpointCondition condition) {
    ShareCondition(runner, condition);
  };
  context.quarantine_verdict = [this](uint64_t digest) {
    return settings_.IsDisabled("quarantine")
               ? routing::QuarantineVerdict::kClear
               : quarantine_->VerdictFor(digest);
  };
  context.quarantine_retry_after = [this](uint64_t digest) {
    return quarantine_->RetryAfter(digest);
  };
  context.report_crash = [this](const core::RunnerId& runner,
                                const std::vector<uint64_t>& digests) {
    quarantine_->RecordCrash(runner, digests);
  };
  context.report_completion = [this](uint64_t digest) {
    quarantine_->RecordCompletion(digest);
  };
  context.report_load = [this](const core::RunnerId& runner,
                               uint32_t requests) {
    directory_.SetReportedRequests(runner.value(), requests);
  };
  owners_ = std::make_unique<OwnerController>(std::move(context), &directory_,
                                              settings_.host);
  transport_ = std::make_unique<WorkTransport>(loop_, link_.get(),
                                               owners_.get(), settings_.host);
  owners_->set_ownership_transfer_sender(
      [this](const membership::Member& owner,
             const OwnershipTransfer& message) {
        transport_->SendOwnershipTransfer(owner, message);
      });
  service_caller_ = std::make_unique<ServiceCaller>(loop_, &data_client_,
                                                    &events_, &directory_);
  LedgerContext ledger_context;
  ledger_context.loop = loop_;
  ledger_context.events = &events_;
  ledger_context.log = ledger_log_client_.get();
  ledger_context.link = link_.get();
  ledger_context.caller = service_caller_.get();
  ledger_context.self = settings_.host;
  ledger_context.requires_read_back = !settings_.IsDisabled("ledger_read_back");
  ledger_context.members = [this] { return gossip_->table(); };
  ledger_context.configuration = [this] { return configuration_->current(); };
  ledger_ = std::make_unique<LedgerController>(
      std::move(ledger_context),
      core::StableHash(settings_.host.value(), incarnation_));
}

void Router::StartFrontend() {
  // Both chains share this filter, because it numbers the requests of the
  // process.
  const auto identify =
      std::make_shared<IdentifyFilter>(&settings_, incarnation_);
  chat_filters_ =
      std::make_unique<FilterChain>(std::vector<std::shared_ptr<Filter>>{
          identify, std::make_shared<ParseChatFilter>(),
          std::make_shared<ResolveModelFilter>(),
          std::make_shared<OrganisationLimitFilter>(&rate_limiter_)});
  service_filters_ =
      std::make_unique<FilterChain>(std::vector<std::shared_ptr<Filter>>{
          identify, std::make_shared<ResolveServiceFilter>(),
          std::make_shared<OrganisationLimitFilter>(&rate_limiter_)});
  session_context_.loop = loop_;
  session_context_.events = &events_;
  session_context_.metrics = &metrics_;
  session_context_.settings = &settings_;
  session_context_.directory = &directory_;
  session_context_.transport = transport_.get();
  session_context_.answers = &answers_;
  session_context_.members = [this] { return gossip_->table(); };
  session_context_.preference_order = [this](const RequestContext& request) {
    return PreferenceOrder(request);
  };
  session_context_.take_retry = [this](const core::PoolId& pool) {
    return RetryBudgetOf(pool).TryRetry(loop_->Now());
  };
  session_context_.record_first_attempt = [this](const core::PoolId& pool) {
    RetryBudgetOf(pool).RecordAttempt(loop_->Now());
  };
  FrontendContext context;
  context.session = &session_context_;
  context.link = link_.get();
  context.chat_filters = chat_filters_.get();
  context.service_filters = service_filters_.get();
  context.configuration = [this] { return configuration_->current(); };
  context.is_stopping = [this] { return is_stopping_; };
  context.is_ready = [this] { return IsReady(); };
  context.status = [this] { return StatusJson(); };
  context.run_service_call =
      [this](const std::shared_ptr<http::Exchange>& exchange,
             const RequestContext& request) {
        RunServiceCall(exchange, request);
      };
  frontend_ = std::make_unique<HttpFrontend>(std::move(context));
}

absl::Status Router::StartHttp() {
  http::ServerOptions options;
  options.address = settings_.http_address;
  options.max_body_bytes = settings_.max_body_bytes;
  TRY_ASSIGN(server_,
             http::Server::Create(
                 loop_, options,
                 [this](const std::shared_ptr<http::Exchange>& exchange) {
                   frontend_->Handle(exchange);
                 }));
  server_->set_reject_observer([this](int status) {
    ++metrics_.Counter("bad_requests_total");
    events_.Record(EventCode::kBadInput, "",
                   fmt::format("http_status={}", status));
  });
  return absl::OkStatus();
}

void Router::RegisterGauges() {
  metrics_.Gauge("control_bytes_total", [this] { return ControlBytes(); });
  metrics_.Gauge("ledger_bytes_total", [this] {
    return static_cast<double>(ledger_client_.bytes_transferred());
  });
  metrics_.Gauge("gossip_bytes_total", [this] {
    return static_cast<double>(gossip_->bytes_sent() +
                               gossip_->bytes_received());
  });
  metrics_.Gauge("owned_runners", [this] {
    return static_cast<double>(owners_->owned_runners());
  });
  metrics_.Gauge("members", [this] {
    return static_cast<double>(gossip_->table()->members().size());
  });
  metrics_.Gauge("applied_offset", [this] {
    return static_cast<double>(configuration_->applied_offset());
  });
  metrics_.Gauge("datagrams_dropped_total", [this] {
    return static_cast<double>(gossip_->datagrams_dropped());
  });
  metrics_.Gauge("answers_kept",
                 [this] { return static_cast<double>(answers_.size()); });
}

routing::RetryBudget& Router::RetryBudgetOf(const core::PoolId& pool) {
  constexpr routing::RetryBudgetPolicy kPolicy = {
      .ratio = 0.2, .minimum_per_second = 5, .capacity = 200};
  return retry_budgets_.try_emplace(pool, kPolicy, loop_->Now()).first->second;
}

double Router::ControlBytes() const {
  return static_cast<double>(control_client_.bytes_transferred() +
                             gossip_->bytes_sent() + gossip_->bytes_received());
}

void Router::OnInboundCall(const std::shared_ptr<link::InboundCall>& call) {
  switch (call->kind()) {
    case link::CallKind::kSubmitWork:
    case link::CallKind::kRecordPointer:
    case link::CallKind::kTransferOwnership:
      transport_->Serve(call);
      return;
    case link::CallKind::kLedgerCall:
      ledger_->Serve(call);
      return;
    case link::CallKind::kShareQuarantine:
      quarantine_->Serve(call);
      return;
    case link::CallKind::kReattach:
      ServeReattach(answers_, call);
      return;
    case link::CallKind::kFetchConfiguration:
      intent::AnswerFetchConfiguration(*configuration_, call.get());
      return;
    default:
      call->Finish(core::MakeStatus(
          ResultCode::kNoSuchResource,
          "the router does not support this kind of link call"));
  }
}

void Router::OnFleetChanged() {
  if (owners_ == nullptr || host_list_ == nullptr) {
    return;
  }
  rate_limiter_.SetRouterCount(CountRouters(*gossip_->table()));
  directory_.SetDrained(configuration_->current()->drained_endpoints);
  gossip_->SetAppliedOffset(configuration_->applied_offset());
  owners_->Update(gossip_->table(), configuration_->current());
  ledger_->Update();
}

void Router::ShareCondition(const core::RunnerId& runner,
                            EndpointCondition condition) {
  const core::TimePoint now = loop_->Now();
  directory_.SetCondition(runner.value(), condition, now + kConditionLifetime);
  SharedCondition& shared = shared_conditions_[runner];
  // Owners report a condition with every poll. It is shared with the fleet only
  // often enough to keep it from expiring.
  if (shared.condition == condition &&
      now - shared.shared_at < kConditionLifetime / 3) {
    return;
  }
  shared = {condition, now};
  (void)facts_->Set(std::string(kEndpointFactPrefix) + runner.value(),
                    std::to_string(static_cast<int>(condition)),
                    kConditionLifetime);
}

void Router::OnFact(const std::string& key, const std::string& value) {
  const auto number = core::ParseNumber<int>(value);
  if (!key.starts_with(kEndpointFactPrefix) || !number || *number < 0 ||
      *number > static_cast<int>(EndpointCondition::kDown)) {
    return;
  }
  directory_.SetCondition(key.substr(kEndpointFactPrefix.size()),
                          static_cast<EndpointCondition>(*number),
                          loop_->Now() + kConditionLifetime);
}

void Router::UpdateSeeds() {
  std::vector<core::SocketAddress> seeds = settings_.seeds;
  if (host_list_ != nullptr) {
    for (const core::SocketAddress& address : host_list_->EntryAddresses()) {
      seeds.push_back(address);
    }
  }
  gossip_->SetSeeds(seeds);
}

void Router::OnTick() {
  owners_->Tick();
}

void Router::OnSlowTick() {
  answers_.Trim(loop_->Now());
  quarantine_->Tick();
  ShareDemand();
  if (!is_stopping_ || loop_->Now() < stop_listening_at_) {
    return;
  }
  // While the router listens, new requests can keep it from being drained.
  server_->StopListening();
  if (IsDrained()) {
    events_.Record(EventCode::kProcessStopped, "", "");
    loop_->Stop();
  }
}

void Router::ShareDemand() {
  const std::map<core::PoolId, routing::PoolDemand> demand =
      owners_->LocalDemand();
  for (const core::PoolId& pool : shared_pools_) {
    if (!demand.contains(pool)) {
      pool_loads_->RemoveLocalDemand(pool);
    }
  }
  shared_pools_.clear();
  for (const auto& [pool, sum] : demand) {
    pool_loads_->SetLocalDemand(pool, sum);
    shared_pools_.insert(pool);
  }
}

bool Router::IsReady() const {
  return !is_stopping_ && host_list_->has_list() &&
         configuration_->is_synchronized();
}

bool Router::IsDrained() const {
  return owners_->is_idle() && ledger_->is_idle() &&
         server_->open_exchanges() == 0 && link_->IsDrained();
}

void Router::BeginShutdown() {
  if (is_stopping_) {
    return;
  }
  is_stopping_ = true;
  events_.Record(EventCode::kProcessStopping, "", "");
  if (settings_.IsDisabled("graceful_shutdown")) {
    loop_->Stop();
    return;
  }
  gossip_->AnnounceLeaving();
  stop_listening_at_ =
      loop_->Now() + settings_.host_answer_lifetime + kStopMargin;
  OnFleetChanged();
}

std::string Router::StatusJson() const {
  const membership::MemberTableSnapshot members = gossip_->table();
  nlohmann::json rows = nlohmann::json::array();
  for (const membership::Member& member : members->members()) {
    rows.push_back({{"id", member.id.value()},
                    {"state", static_cast<int>(member.state)},
                    {"applied_offset", member.applied_offset}});
  }
  const nlohmann::json status = {
      {"host", settings_.host.value()},
      {"stopping", is_stopping_},
      {"applied_offset", configuration_->applied_offset()},
      {"owned_runners", owners_->owned_runners()},
      {"members", rows}};
  return status.dump();
}

std::vector<core::RunnerId> Router::PreferenceOrder(
    const RequestContext& request) {
  const std::vector<routing::RunnerView> runners =
      directory_.PoolView(request.model_pool->pool, loop_->Now());
  const uint64_t spread_key = core::StableHash(request.request.value());
  std::vector<core::RunnerId> order;
  for (const size_t index : StrategyOf(*request.model_pool)
                                ->Order(runners, request.chat, spread_key)) {
    order.push_back(runners[index].id);
  }
  return order;
}

routing::PlacementStrategy* Router::StrategyOf(const intent::ModelPool& pool) {
  std::unique_ptr<routing::PlacementStrategy>& strategy =
      strategies_[pool.pool];
  if (strategy != nullptr && strategy_settings_[pool.pool] == pool) {
    return strategy.get();
  }
  strategy_settings_[pool.pool] = pool;
  auto made = routing::MakePlacementStrategy(
      pool.strategy, pool.load_bound,
      core::StableHash(settings_.host.value(), incarnation_));
  if (!made.ok()) {
    made = routing::MakePlacementStrategy("owners", pool.load_bound, 0);
  }
  strategy = std::move(*made);
  return strategy.get();
}

void Router::RunLedgerCall(const std::shared_ptr<http::Exchange>& exchange,
                           const RequestContext& context) {
  ledger::LedgerCall call;
  call.organisation = context.organisation;
  call.key = context.idempotency_key;
  call.service = context.service;
  call.path = context.service_path;
  call.body = context.http->body;
  call.content_digest = ledger::DigestOf(call.service, call.path, call.body);
  call.deadline_ms = core::ToMilliseconds(context.deadline - context.now);
  call.request_id = context.request;
  call.trace_parent = context.trace_parent;
  call.is_over_rate_limit = context.is_over_rate_limit;
  ledger_->Submit(call, [this, exchange, request = context.request.value()](
                            const ledger::LedgerOutcome& outcome) {
    AnswerLedgerCall(exchange, request, outcome);
  });
}

void Router::AnswerLedgerCall(const std::shared_ptr<http::Exchange>& exchange,
                              const std::string& request_id,
                              const ledger::LedgerOutcome& outcome) {
  const ResultCode code = outcome.result_code();
  events_.Record(code == ResultCode::kOk ? EventCode::kRequestAnswered
                                         : EventCode::kRequestFailed,
                 request_id, fmt::format("code={}", outcome.code));
  if (code == ResultCode::kOk && !outcome.is_body_recorded) {
    RespondError(exchange,
                 core::MakeStatus(ResultCode::kOffsetNotKept,
                                  "the call ran, but its answer was too large "
                                  "to be kept for a resend"),
                 request_id);
    return;
  }
  if (code == ResultCode::kOk) {
    RespondServiceAnswer(exchange, request_id, outcome.http_status,
                         outcome.body);
    return;
  }
  const std::string message(core::Describe(code).meaning);
  const absl::Status status =
      outcome.retry_after_ms > 0
          ? core::MakeRefusal(code, message,
                              core::milliseconds(outcome.retry_after_ms))
          : core::MakeStatus(code, message);
  RespondError(exchange, status, request_id);
}

void Router::RunServiceCall(const std::shared_ptr<http::Exchange>& exchange,
                            const RequestContext& context) {
  if (!context.plain_service->is_repeatable &&
      !settings_.IsDisabled("ledger")) {
    RunLedgerCall(exchange, context);
    return;
  }
  const core::PoolId pool = context.plain_service->pool;
  RetryBudgetOf(pool).RecordAttempt(loop_->Now());
  ServiceSession::Start(
      service_caller_.get(), &events_, exchange, context, settings_.max_retries,
      [this, pool] { return RetryBudgetOf(pool).TryRetry(loop_->Now()); });
}

}  // namespace wasabi::router
