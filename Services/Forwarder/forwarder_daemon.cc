#include "Services/Forwarder/forwarder_daemon.h"

#include <algorithm>
#include <utility>

#include "LibCore/process_seed.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibForwarding/forward_session.h"
#include "LibForwarding/waiting_counts.h"
#include "LibHttp/tunnel.h"

namespace wasabi::forwarder {

namespace {

constexpr core::Duration kTick = core::milliseconds(50);
constexpr core::Duration kSettingsCheckPeriod = core::seconds(3);
// How often a starting host checks whether held requests can be served.
constexpr core::Duration kStartupCheckPeriod = core::milliseconds(10);
constexpr core::Duration kOriginObservationPeriod = core::milliseconds(500);
// Time that callers may cache a discovery response, unless the settings allow
// less. Callers stop using a host that shuts down within this time.
constexpr core::Duration kAddressLifetime = core::seconds(1);
// Some callers cache addresses for three times the advertised lifetime.
constexpr int kAddressLifetimeFactor = 3;
// Retry-After value of requests that are refused for lack of a current
// configuration.
constexpr core::Duration kRetryWithoutConfiguration = core::milliseconds(300);

// The same for lack of memory; another host is likely to have some.
constexpr core::Duration kRetryWithoutMemory = core::milliseconds(500);

// Bytes of all responses of the platform and of copies of topics that may be
// held at once.
constexpr uint64_t kMaxFetchedBytes = 32U << 20U;

constexpr int kOkStatus = 200;

}  // namespace

absl::StatusOr<std::unique_ptr<ForwarderDaemon>> ForwarderDaemon::Create(
    core::EventLoop* loop,
    const ForwarderSettings& settings,
    std::string settings_path,
    const AdapterFactory& make_adapters) {
  std::unique_ptr<ForwarderDaemon> daemon(new ForwarderDaemon(
      loop, settings, std::move(settings_path), make_adapters));
  TRY(daemon->Start());
  return daemon;
}

ForwarderDaemon::ForwarderDaemon(core::EventLoop* loop,
                                 const ForwarderSettings& settings,
                                 std::string settings_path,
                                 const AdapterFactory& make_adapters)
    : loop_(loop),
      settings_(settings),
      settings_path_(std::move(settings_path)),
      events_(settings.host.value(), settings.event_capacity),
      random_(core::ProcessSeed(settings.host.Hash())),
      buffer_memory_(
          std::make_shared<http::BufferMemory>(settings.memory_bytes)),
      platform_client_(loop, kMaxFetchedBytes),
      origin_client_(loop, buffer_memory_),
      adapters_(make_adapters(&platform_client_,
                              settings.platform_address,
                              &events_)),
      scheduler_(loop),
      paces_(core::ProcessSeed(settings.host.Hash())),
      carriers_(settings.data_centre, random_.Next()),
      path_(loop, &events_, &endpoints_, &carriers_, random_.Next()),
      crashes_(loop, &events_, &suspects_, &path_),
      tunnels_(&context_),
      startup_queue_(loop->Now()) {}

ForwarderDaemon::~ForwarderDaemon() = default;

absl::Status ForwarderDaemon::Start() {
  events_.Record(
      core::EventCode::kProcessStarted, "",
      fmt::format("data_centre={} callers={}", settings_.data_centre.value(),
                  settings_.callers_address.ToString()));
  endpoints_.SetRemovalObserver([this](const forwarding::Endpoint& before) {
    context_.origin_history.RecordStream(before, loop_->Now());
    paces_.Forget(before.id, loop_->Now());
    context_.prompt_holders.ForgetEndpoint(before.id);
    origin_client_.Forget(before.address);
  });
  endpoints_.SetEndObserver([this](const forwarding::Endpoint& before) {
    monitor_.Forget(before.id);
    if (fleet_ != nullptr) {
      fleet_->permits()->Forget(before.id);
      fleet_->places()->Forget(before);
    }
  });
  configuration_ = std::make_unique<ConfigurationController>(
      &adapters_, &scheduler_, &events_, random_.Next());
  configuration_->SetObserver([this](const forwarding::RouteTableView& table) {
    OnConfiguration(table);
  });
  configuration_->SetEvacuationObserver(
      [this](const std::set<core::DataCentreId>& evacuated) {
        endpoints_.SetEvacuated(evacuated);
      });
  endpoints_.SetEvacuationEndObserver(
      [this](const core::DataCentreId& data_centre) {
        cold_endpoints_.MarkCold(data_centre, loop_->Now());
      });
  registrations_ = std::make_unique<RegistrationController>(
      &adapters_, &scheduler_, &events_, &endpoints_, settings_.leaving_bound,
      random_.Next(), &cold_endpoints_);
  TRY_ASSIGN(fleet_, FleetController::Create(
                         {.loop = loop_,
                          .scheduler = &scheduler_,
                          .events = &events_,
                          .client = &platform_client_,
                          .adapters = &adapters_,
                          .loads = &loads_,
                          .paces = &paces_,
                          .suspects = &suspects_,
                          .carriers = &carriers_,
                          .endpoints = &endpoints_,
                          .origin_history = &context_.origin_history,
                          .origin_certainty = &context_.origin_certainty},
                         settings_));
  fleet_->SetTopics(
      {{.view = configuration_->view(), .relay = configuration_->relay()},
       {.view = registrations_->view(), .relay = registrations_->relay()}});
  InitializeContext();
  ConnectColdEndpoints();
  TRY(StartServers());
  CreateStop();
  startup_timer_ = loop_->NewTimer([this]() { ServeHeld(); });
  ticker_ = loop_->NewTimer([this]() { Tick(); });
  ticker_->StartRepeating(kTick);
  return absl::OkStatus();
}

absl::Status ForwarderDaemon::StartServers() {
  const auto handler = [this](void (ForwarderDaemon::*handle)(
                           const TransactionPointer& transaction)) {
    return [this, handle](const TransactionPointer& transaction) {
      (this->*handle)(transaction);
    };
  };
  TRY_ASSIGN(callers_,
             http::RequestServer::Create(loop_, settings_.callers_address,
                                         handler(&ForwarderDaemon::OnRequest)));
  callers_->SetMemory(buffer_memory_);
  callers_->SetRejectObserver(
      [this](int status, const http::InboundRequest& request) {
        events_.Record(core::EventCode::kBadInput,
                       adapters_.callers->RequestIdOf(request),
                       fmt::format("status={}", status));
      });
  TRY_ASSIGN(ready_, http::RequestServer::Create(
                         loop_, settings_.ready_address,
                         handler(&ForwarderDaemon::OnReadinessCheck)));
  TRY_ASSIGN(discovery_, http::RequestServer::Create(
                             loop_, settings_.discovery_address,
                             handler(&ForwarderDaemon::OnDiscovery)));
  TRY_ASSIGN(internal_, http::RequestServer::Create(
                            loop_, settings_.internal_address,
                            handler(&ForwarderDaemon::OnInternalRequest)));
  internal_->SetMemory(buffer_memory_);
  return absl::OkStatus();
}

void ForwarderDaemon::InitializeContext() {
  context_.loop = loop_;
  context_.events = &events_;
  context_.metrics = &metrics_;
  context_.client = &origin_client_;
  context_.buffer_memory = buffer_memory_;
  context_.caller_protocol = adapters_.callers.get();
  context_.endpoint_protocol = adapters_.endpoints.get();
  context_.endpoints = &endpoints_;
  context_.monitor = &monitor_;
  context_.loads = &loads_;
  context_.waiting = &waiting_;
  context_.suspects = &suspects_;
  context_.crashes = &crashes_;
  context_.path = &path_;
  context_.carriers = &carriers_;
  path_.SetLossObserver([this]() { monitor_.EndHoldDowns(); });
  context_.stream_origins = fleet_->stream_origins();
  context_.stored_origins = &fleet_->origins().stored();
  context_.origin_reporter = &fleet_->origins().reporter();
  context_.origin_confirmation = &fleet_->origins().confirmation();
  fleet_->origins().SetRegistrations(registrations_->view());
  context_.origin_prober = &origin_prober_;
  origin_client_.SetObserver(
      {.on_connected =
           [this](const core::SocketAddress& address) {
             context_.origin_certainty.RecordConnected(address, loop_->Now());
           },
       .on_lost =
           [this](const core::SocketAddress& address) {
             OnConnectionLost(address);
           },
       .on_refused =
           [this](const core::SocketAddress& address) {
             context_.origin_certainty.RecordBreak(address, loop_->Now());
           },
       .on_unsolicited =
           [this](const core::SocketAddress& address,
                  const http::ConnectionUse& use, size_t bytes) {
             events_.Record(
                 core::EventCode::kAnswerMismatched, "",
                 fmt::format("address={} {} bytes={} on an idle connection",
                             address.ToString(), http::Describe(use), bytes));
           }});
  context_.permits = fleet_->permits();
  context_.places = fleet_->places();
  context_.pool_slots = fleet_->pool_slots();
  context_.paces = &paces_;
  context_.random = &random_;
  context_.selection.load_bound = settings_.load_bound;
  context_.retry_policy = settings_.retries;
  if (!settings_.is_first_start) {
    context_.retries_known_from = loop_->Now();
  }
  context_.load_control_enabled = IsLoadControlEnabled();
  context_.data_centre = settings_.data_centre;
  context_.host_count = [this]() { return fleet_->host_count(); };
  context_.max_load_age = [this]() { return fleet_->max_load_age(); };
  metrics_.Gauge("platform_calls", [this]() {
    return static_cast<double>(fleet_->topics().platform_calls() +
                               fleet_->origins().calls() +
                               fleet_->crash_records().calls());
  });
  metrics_.Gauge("origin_calls", [this]() {
    return static_cast<double>(fleet_->origins().calls());
  });
  metrics_.Gauge("carriers",
                 [this]() { return static_cast<double>(carriers_.size()); });
  metrics_.Gauge("evacuated_data_centres", [this]() {
    return static_cast<double>(endpoints_.evacuated().size());
  });
  metrics_.Gauge("relay_bytes", [this]() {
    return static_cast<double>(buffer_memory_->total());
  });
  metrics_.Gauge("path_lost", [this]() { return path_.is_lost() ? 1.0 : 0.0; });
  metrics_.Gauge("tunnels_open", [this]() {
    return static_cast<double>(tunnels_.open_tunnels());
  });
  metrics_.Gauge("endpoint_unsolicited_closes", [this]() {
    return static_cast<double>(origin_client_.unsolicited_closes());
  });
  context_.endpoint_view_age = [this]() {
    return loop_->Now() - registrations_->view()->confirmed_at();
  };
}

void ForwarderDaemon::OnConnectionLost(const core::SocketAddress& address) {
  context_.origin_certainty.RecordBreak(address, loop_->Now());
  if (!path_.is_lost()) {
    origin_prober_.Probe(address, []() {});
  }
}

bool ForwarderDaemon::IsLoadControlEnabled() const {
  return settings_.load_control_enabled ||
         (adapters_.decode_contracts &&
          adapters_.decode_contracts(settings_.contracts).load_control);
}

void ForwarderDaemon::OnConfiguration(const forwarding::RouteTableView& table) {
  callers_->SetLimits(table->caller_limits());
  cold_endpoints_.SetPools(table, loop_->Now());
}

void ForwarderDaemon::ConnectColdEndpoints() {
  context_.cold_endpoints = &cold_endpoints_;
  fleet_->permits()->SetColdPolicy(settings_.cold);
  cold_endpoints_.SetSink([this](const core::RunnerId& id, double per_second,
                                 core::Duration left, core::TimePoint now) {
    fleet_->permits()->MarkCold(id, per_second, left, now);
  });
  fleet_->permits()->SetColdObserver(
      [this](uint32_t key, const forwarding::ColdNews::State& state) {
        std::string_view name = "unknown";
        for (const auto& [id, endpoint] : endpoints_.all()) {
          name =
              forwarding::ColdNews::KeyOf(id.Hash()) == key ? id.value() : name;
        }
        events_.Record(
            core::EventCode::kEndpointCold, "",
            fmt::format("endpoint={} key={:x} left_ms={} max_per_second={} "
                        "endpoints_age_ms={}",
                        name, key,
                        core::ToMilliseconds(state.until - loop_->Now()),
                        state.per_second,
                        core::ToMilliseconds(context_.endpoint_view_age())));
      });
  metrics_.Gauge("cold_endpoints", [this]() {
    return static_cast<double>(fleet_->permits()->cold_endpoints());
  });
}

bool ForwarderDaemon::HasLoaded() const {
  return configuration_->current() != nullptr &&
         registrations_->view()->is_loaded();
}

void ForwarderDaemon::OnRequest(const TransactionPointer& transaction) {
  if (HasLoaded()) {
    Serve(transaction);
    return;
  }
  if (context_.load_control_enabled &&
      startup_queue_.Hold(transaction, loop_->Now())) {
    ++metrics_.Counter("forward_held_at_start");
    startup_timer_->StartRepeating(kStartupCheckPeriod);
    return;
  }
  RespondError(
      transaction,
      core::MakeRefusal(
          core::ResultCode::kNoConfiguration,
          "configuration or endpoint registrations have not been loaded yet",
          kRetryWithoutConfiguration));
}

void ForwarderDaemon::ServeHeld() {
  if (!HasLoaded() && !startup_queue_.IsOver(loop_->Now())) {
    return;
  }
  startup_timer_->Stop();
  for (const TransactionPointer& it : startup_queue_.TakeAll()) {
    OnRequest(it);
  }
}

void ForwarderDaemon::Serve(const TransactionPointer& transaction) {
  if (buffer_memory_->IsExhausted()) {
    RespondError(transaction,
                 core::MakeRefusal(core::ResultCode::kOverloaded,
                                   "slow callers and endpoints hold the memory "
                                   "of this host",
                                   kRetryWithoutMemory));
    return;
  }
  auto request = adapters_.callers->Decode(transaction->request(),
                                           configuration_->current());
  if (!request.ok()) {
    RespondError(transaction, StatusForCaller(request.status()));
    return;
  }
  if (context_.stop &&
      !context_.stop->Takes(loop_->Now(), request->AnswerDue())) {
    RespondError(transaction,
                 core::MakeRefusal(core::ResultCode::kStopping,
                                   "the host shuts down before the answer is "
                                   "certain to be complete",
                                   core::Duration::zero()));
    return;
  }
  forwarding::ForwardSession::Run(&context_, transaction, *std::move(request));
}

// A route or API key that is unknown to this host may exist in a newer
// configuration that the host has not read yet. While the configuration may be
// stale, such a request is refused as retryable instead.
absl::Status ForwarderDaemon::StatusForCaller(
    const absl::Status& status) const {
  const core::ResultCode code = core::CodeOf(status);
  const core::Duration age =
      loop_->Now() - configuration_->view()->confirmed_at();
  const bool depends_on_configuration =
      code == core::ResultCode::kUnknownRoute ||
      code == core::ResultCode::kUnknownKey;
  if (!depends_on_configuration || age < settings_.configuration_bound) {
    return status;
  }
  return core::MakeRefusal(core::ResultCode::kNoConfiguration,
                           "the configuration may be stale",
                           kRetryWithoutConfiguration);
}

void ForwarderDaemon::RespondError(const TransactionPointer& transaction,
                                   const absl::Status& status) {
  const core::ResultCode code = core::CodeOf(status);
  events_.Record(
      core::EventCode::kRequestRefused,
      adapters_.callers->RequestIdOf(transaction->request()),
      fmt::format("code={} target={} version={} configuration_age_ms={}",
                  core::Describe(code).name, transaction->request().target,
                  configuration_->current() == nullptr
                      ? 0
                      : configuration_->current()->version(),
                  core::ToMilliseconds(
                      loop_->Now() - configuration_->view()->confirmed_at())));
  ++metrics_.Counter("forward_refusals");
  transaction->Respond(adapters_.callers->EncodeError(status));
}

bool ForwarderDaemon::IsReady() const {
  return !context_.stop && HasLoaded();
}

void ForwarderDaemon::OnReadinessCheck(const TransactionPointer& transaction) {
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  if (!adapters_.discovery->IsReadinessCheck(transaction->request())) {
    transaction->Respond({.status = kNotFound});
    return;
  }
  transaction->Respond({.status = IsReady() ? kOkStatus : kUnavailable});
}

core::Duration ForwarderDaemon::AddressLifetime() const {
  return std::min(kAddressLifetime, settings_.max_address_lifetime);
}

void ForwarderDaemon::OnDiscovery(const TransactionPointer& transaction) {
  const auto question =
      adapters_.discovery->DecodeQuery(transaction->request());
  if (!question.ok()) {
    transaction->Respond(adapters_.callers->EncodeError(question.status()));
    return;
  }
  const std::vector<core::SocketAddress> addresses =
      fleet_->ServingAddresses(question->data_centre);
  if (addresses.empty()) {
    transaction->Respond(adapters_.callers->EncodeError(
        core::MakeRefusal(core::ResultCode::kNoConfiguration,
                          "no host of the fleet accepts requests yet",
                          kRetryWithoutConfiguration)));
    return;
  }
  transaction->Respond(
      adapters_.discovery->EncodeAddresses(addresses, AddressLifetime()));
}

void ForwarderDaemon::OnInternalRequest(const TransactionPointer& transaction) {
  constexpr std::string_view kTopics = "/v1/topics/";
  constexpr int kNotFound = 404;
  if (transaction->request().method == http::kTunnelMethod) {
    tunnels_.Open(transaction);
    return;
  }
  const std::string_view target = transaction->request().target;
  if (target == "/metrics") {
    transaction->Respond({.status = kOkStatus,
                          .headers = {{"Content-Type", "text/plain"}},
                          .body = metrics_.ToText()});
    return;
  }
  if (target.starts_with("/v1/events")) {
    transaction->Respond(
        {.status = kOkStatus,
         .headers = {{"Content-Type", "application/json"}},
         .body = core::EventsToJson(events_.process_name(), events_.Since(0))});
    return;
  }
  const auto topic =
      target.starts_with(kTopics)
          ? core::ParseNumber<uint8_t>(target.substr(kTopics.size()))
          : std::nullopt;
  const std::string copy = topic ? fleet_->topics().EncodedCopy(*topic) : "";
  transaction->Respond(
      {.status = copy.empty() ? kNotFound : kOkStatus, .body = copy});
}

void ForwarderDaemon::Tick() {
  const core::TimePoint now = loop_->Now();
  configuration_->Tick();
  registrations_->Tick();
  origin_client_.Expire(now);
  suspects_.Expire(now);
  LogRefusedParts();
  LogPaceChanges();
  waiting_.Serve();
  if (context_.load_control_enabled) {
    loads_.SetOtherCounts(forwarding::WaitingCountsOf(waiting_, random_));
  }
  if (IsReady() && !is_announced_) {
    is_announced_ = true;
    fleet_->AnnounceReady();
  }
  if (now >= next_origin_observation_at_) {
    next_origin_observation_at_ = now + kOriginObservationPeriod;
    context_.origin_history.Observe(endpoints_, context_.endpoint_view_age(),
                                    now);
  }
  if (now >= next_settings_check_at_) {
    next_settings_check_at_ = now + kSettingsCheckPeriod;
    Reload();
  }
  stop_->Tick();
}

void ForwarderDaemon::LogPaceChanges() {
  for (const forwarding::PaceChange& it : paces_.TakeChanges(loop_->Now())) {
    ++metrics_.Counter("endpoint_pace_changes");
    events_.Record(
        core::EventCode::kEndpointPaceChanged, "",
        fmt::format("endpoint_key={:06x} pace={:.2f} age_ms={}", it.endpoint,
                    it.pace, core::ToMilliseconds(it.age)));
  }
}

void ForwarderDaemon::LogRefusedParts() {
  std::set<std::vector<uint64_t>> refused;
  for (const forwarding::RefusedParts& it :
       suspects_.refused_parts(loop_->Now())) {
    refused.insert(it.parts);
    if (!logged_refused_parts_.contains(it.parts)) {
      events_.Record(core::EventCode::kDigestQuarantined, "",
                     fmt::format("parts={:x} crashes={}",
                                 fmt::join(it.parts, ","), it.crashes));
    }
  }
  logged_refused_parts_ = std::move(refused);
}

void ForwarderDaemon::Reload() {
  const auto settings = LoadForwarderSettings(settings_path_);
  if (!settings.ok()) {
    events_.Record(core::EventCode::kSettingsReloaded, "",
                   "refused error=" + core::MessageOf(settings.status()));
    return;
  }
  if (*settings == settings_) {
    return;
  }
  settings_ = *settings;
  context_.selection.load_bound = settings_.load_bound;
  context_.retry_policy = settings_.retries;
  context_.load_control_enabled = IsLoadControlEnabled();
  buffer_memory_->SetHostBytes(settings_.memory_bytes);
  fleet_->permits()->SetColdPolicy(settings_.cold);
  fleet_->topics().UpdateBounds(settings_);
  core::SetLogLevel(settings_.log_level);
  events_.Record(core::EventCode::kSettingsReloaded, "",
                 "applied; changed addresses take effect at the next start");
}

void ForwarderDaemon::CreateStop() {
  stop_ = std::make_unique<StopController>(
      StopController::Parts{.loop = loop_,
                            .context = &context_,
                            .callers = callers_.get(),
                            .tunnels = &tunnels_,
                            .has_loaded = [this]() { return HasLoaded(); },
                            .refuse_held = [this]() { RefuseHeld(); },
                            .on_stopped = [this]() { ticker_->Stop(); }});
}

void ForwarderDaemon::BeginShutdown(core::TimePoint signalled_after) {
  if (stop_->has_begun()) {
    return;
  }
  stop_->Begin({.grace = settings_.shutdown_grace,
                .address_lifetime = AddressLifetime() * kAddressLifetimeFactor},
               signalled_after);
  fleet_->AnnounceLeaving();
}

void ForwarderDaemon::RefuseHeld() {
  for (const TransactionPointer& it : startup_queue_.TakeAll()) {
    RespondError(
        it, core::MakeRefusal(core::ResultCode::kStopping,
                              "the host shuts down", core::Duration::zero()));
  }
}

}  // namespace wasabi::forwarder
