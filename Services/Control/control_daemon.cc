#include "Services/Control/control_daemon.h"

#include <unistd.h>

#include <chrono>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibIntent/configuration_record.h"

namespace wasabi::control {

namespace {

using core::EventCode;

constexpr core::Duration kTickPeriod = std::chrono::milliseconds(200);
constexpr core::Duration kStopCheckPeriod = std::chrono::milliseconds(20);
constexpr size_t kMaxLinkMessageBytes = 16U << 20U;
constexpr std::string_view kConfigurationStream = "configuration";
// Rendezvous hashing ranks the control daemons for snapshots by this key.
constexpr std::string_view kSnapshotOwnershipKey = "configuration-snapshot";

// Returns an id that is unique to this run of the daemon: the host id, the
// start time in microseconds, and the process id.
std::string MakeWriterId(const core::HostId& host) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return fmt::format(
      "{}#{}.{}", host.value(),
      std::chrono::duration_cast<std::chrono::microseconds>(now).count(),
      getpid());
}

membership::Member MakeSelf(const ControlSettings& settings) {
  membership::Member self;
  self.id = settings.host;
  self.data_centre = settings.data_centre;
  self.role = membership::MemberRole::kControl;
  self.gossip_address = settings.gossip_address;
  self.link_address = settings.link_address;
  self.http_address = settings.http_address;
  return self;
}

SnapshotOptions MakeSnapshotOptions(const ControlSettings& settings) {
  SnapshotOptions options;
  options.records = settings.snapshot_records;
  options.period = settings.snapshot_period;
  return options;
}

// The key under which rendezvous hashing chooses the owner of the pool's
// orders.
std::string OrdersOwnershipKey(const core::PoolId& pool) {
  return fmt::format("orders/{}", pool.value());
}

}  // namespace

absl::StatusOr<std::unique_ptr<ControlDaemon>> ControlDaemon::Create(
    core::EventLoop* loop,
    const ControlSettings& settings) {
  std::unique_ptr<ControlDaemon> daemon(new ControlDaemon(loop, settings));
  TRY(daemon->Start());
  return daemon;
}

ControlDaemon::ControlDaemon(core::EventLoop* loop,
                             const ControlSettings& settings)
    : loop_(loop),
      settings_(settings),
      writer_(MakeWriterId(settings.host)),
      events_(settings.host.value(), settings.event_capacity),
      http_client_(loop),
      log_(&http_client_, {.address = settings.platform_address}),
      host_list_(&http_client_, settings.platform_address),
      follower_(intent::ConfigurationFollower::Create(loop, &log_, &events_)),
      snapshots_(MakeSnapshotOptions(settings)) {}

ControlDaemon::~ControlDaemon() {
  follower_->Stop();
}

absl::Status ControlDaemon::Start() {
  TRY(StartGossip());
  TRY(StartLink());
  StartController();
  TRY(StartServer());
  follower_->AddObserver([this](const intent::ConfigurationView& view) {
    gossip_->SetAppliedOffset(view->revision);
    UpdateOrders();
  });
  follower_->Start();
  tick_timer_ = loop_->NewTimer([this] { OnTick(); });
  tick_timer_->StartRepeating(kTickPeriod);
  events_.Record(EventCode::kProcessStarted, "",
                 "http=" + settings_.http_address.ToString());
  return absl::OkStatus();
}

absl::Status ControlDaemon::StartGossip() {
  membership::GossipOptions options;
  options.self = MakeSelf(settings_);
  TRY_ASSIGN(gossip_, membership::GossipNode::Create(loop_, std::move(options),
                                                     core::StableHash(writer_),
                                                     &events_));
  gossip_->SetSeeds(settings_.seeds);
  return absl::OkStatus();
}

absl::Status ControlDaemon::StartLink() {
  link::LinkOptions options;
  options.listen_address = settings_.link_address;
  options.local_name = settings_.host.value();
  options.max_message_bytes = kMaxLinkMessageBytes;
  options.event_ring = &events_;
  TRY_ASSIGN(link_,
             link::LinkNode::Create(
                 loop_, options,
                 [this](uint32_t ip) { return gossip_->table()->HasIp(ip); },
                 [this](const std::shared_ptr<link::InboundCall>& call) {
                   if (call->kind() == link::CallKind::kFetchConfiguration) {
                     intent::AnswerFetchConfiguration(*follower_, call.get());
                     return;
                   }
                   call->Finish(core::MakeStatus(
                       core::ResultCode::kNoSuchResource,
                       "control daemons serve only configuration fetches"));
                 }));
  catch_up_ = std::make_unique<intent::ConfigurationCatchUp>(
      loop_, link_.get(), follower_, settings_.host,
      [this] { return gossip_->table(); });
  return absl::OkStatus();
}

void ControlDaemon::StartController() {
  OrderContext orders;
  orders.loop = loop_;
  orders.http_client = &http_client_;
  orders.log = &log_;
  orders.events = &events_;
  orders.address_of = [this](const std::string& endpoint) {
    return pool_watcher_->AddressOf(endpoint);
  };
  orders_ = std::make_unique<OrderDriver>(std::move(orders), writer_,
                                          settings_.orders);
  pool_watcher_ = std::make_unique<PoolWatcher>(
      loop_, &host_list_, settings_.host_list_period, [this] { OnHostList(); });

  IntentApiContext context;
  context.confirm.loop = loop_;
  context.confirm.log = &log_;
  context.confirm.follower = follower_;
  context.confirm.members = [this] { return gossip_->table(); };
  context.confirm.confirm_timeout = settings_.confirm_timeout;
  context.confirm.in_force_timeout = settings_.in_force_timeout;
  context.events = &events_;
  context.metrics = &metrics_;
  context.pools = [this]() -> const intent::PoolMembers& {
    return pool_watcher_->pools();
  };
  context.pending_orders = [this] {
    return orders_->controller().CountPending();
  };
  api_ = std::make_unique<IntentApi>(
      std::move(context), IntentApiOptions{settings_.host.value(), writer_,
                                           settings_.plan_lifetime});
  metrics_.Gauge("control_gossip_bytes_sent",
                 [this] { return static_cast<double>(gossip_->bytes_sent()); });
  metrics_.Gauge("control_applied_offset", [this] {
    return static_cast<double>(follower_->applied_offset());
  });
}

absl::Status ControlDaemon::StartServer() {
  http::ServerOptions options;
  options.address = settings_.http_address;
  TRY_ASSIGN(server_,
             http::Server::Create(
                 loop_, options,
                 [this](const std::shared_ptr<http::Exchange>& exchange) {
                   api_->Handle(exchange);
                 }));
  return absl::OkStatus();
}

void ControlDaemon::OnHostList() {
  std::vector<core::SocketAddress> seeds = settings_.seeds;
  seeds.insert(seeds.end(), pool_watcher_->entries().begin(),
               pool_watcher_->entries().end());
  gossip_->SetSeeds(seeds);
  UpdateOrders();
}

void ControlDaemon::UpdateOrders() {
  intent::OrderController& controller = orders_->controller();
  controller.SetConfiguration(follower_->current());
  controller.SetPools(pool_watcher_->pools());
  const membership::MemberTableSnapshot members = gossip_->table();
  std::set<core::PoolId> owned;
  for (const auto& [pool, endpoints] : pool_watcher_->pools()) {
    const membership::Member* owner = members->OwnerOf(
        OrdersOwnershipKey(pool), membership::MemberRole::kControl);
    if (owner != nullptr && owner->id == settings_.host) {
      owned.insert(pool);
    }
  }
  controller.SetOwnedPools(std::move(owned));
}

void ControlDaemon::OnTick() {
  UpdateOrders();
  AppendSnapshotIfDue();
}

size_t ControlDaemon::SnapshotRank() const {
  const membership::MemberTableSnapshot members = gossip_->table();
  size_t rank = 0;
  for (const membership::Member* member : members->RankedOwners(
           kSnapshotOwnershipKey, membership::MemberRole::kControl)) {
    if (member->id == settings_.host) {
      break;
    }
    ++rank;
  }
  return rank;
}

void ControlDaemon::AppendSnapshotIfDue() {
  const intent::ConfigurationTracker& tracker = follower_->tracker();
  SnapshotInput input;
  input.applied_offset = tracker.fold().revision();
  input.last_snapshot_offset = tracker.last_snapshot_offset();
  input.first_retained = tracker.first_retained();
  input.is_current = follower_->is_platform_up() &&
                     follower_->is_synchronized() &&
                     !tracker.is_searching_snapshot() && !is_stopping_;
  input.rank = SnapshotRank();
  if (is_appending_snapshot_ || !snapshots_.IsDue(loop_->Now(), input)) {
    return;
  }
  is_appending_snapshot_ = true;
  const intent::SnapshotRecord record{{writer_, next_snapshot_++},
                                      tracker.fold().Snapshot()};
  log_.Append(std::string(kConfigurationStream), intent::EncodeRecord(record),
              [this](const absl::StatusOr<platform::Offset>& offset) {
                is_appending_snapshot_ = false;
                if (offset.ok()) {
                  events_.Record(EventCode::kSnapshotAppended, "",
                                 fmt::format("offset={}", *offset));
                }
              });
}

void ControlDaemon::BeginStop() {
  if (is_stopping_) {
    return;
  }
  is_stopping_ = true;
  events_.Record(EventCode::kProcessStopping, "", "");
  gossip_->AnnounceLeaving();
  api_->BeginStop();
  server_->StopListening();
  link_->StopAccepting();
  stop_deadline_ = loop_->Now() + settings_.stop_timeout;
  stop_timer_ = loop_->NewTimer([this] { CheckStopped(); });
  stop_timer_->StartRepeating(kStopCheckPeriod);
}

void ControlDaemon::CheckStopped() {
  const bool is_done =
      server_->open_exchanges() == 0 && api_->confirmations_in_flight() == 0;
  if (!is_done && loop_->Now() < stop_deadline_) {
    return;
  }
  events_.Record(EventCode::kProcessStopped, "",
                 is_done ? "" : "requests were still in flight");
  loop_->Stop();
}

}  // namespace wasabi::control
