#include "Services/Control/order_driver.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibIntent/configuration_json.h"

namespace wasabi::control {

namespace {

using core::EventCode;
using core::ResultCode;
using intent::EndpointState;

constexpr core::Duration kTickPeriod = std::chrono::milliseconds(100);
// The sum of this timeout and OrderOptions::claim_freshness must be at most
// OrderOptions::take_over_wait, so that the orders of the previous holder have
// arrived before a new holder sends its own.
constexpr core::Duration kOrderTimeout = std::chrono::seconds(2);
constexpr std::string_view kClaimsStream = "claims";
constexpr std::string_view kOrdersPath = "/v1/orders";
constexpr int kHttpConflict = 409;
// Lowest HTTP status that counts as a failure.
constexpr int kMinHttpFailureStatus = 300;

// Returns the state in an endpoint's response to a read. Errors:
// kEndpointFailed for an HTTP status that counts as a failure, and those of the
// transport and of the JSON parser.
absl::StatusOr<EndpointState> ParseState(
    const absl::StatusOr<http::ClientResponse>& response) {
  TRY(response.status());
  if (response->status >= kMinHttpFailureStatus) {
    return core::MakeStatus(ResultCode::kEndpointFailed,
                            fmt::format("HTTP {}", response->status));
  }
  TRY_ASSIGN(const nlohmann::json body,
             intent::ParseJsonObject(response->body));
  EndpointState state;
  TRY(intent::ReadMember(body, "model", &state.state.model));
  TRY(intent::ReadMember(body, "adapter", &state.state.adapter));
  TRY(intent::ReadMember(body, "version", &state.state.version));
  TRY(intent::ReadMember(body, "role", &state.state.role));
  TRY(intent::ReadMember(body, "applied", &state.is_applied));
  return state;
}

// Returns the result of an order. Errors: kOrderRefused if the endpoint has
// seen a higher fencing number, kEndpointFailed for any other HTTP status that
// counts as a failure, and those of the transport.
absl::Status OrderStatus(const absl::StatusOr<http::ClientResponse>& response) {
  TRY(response.status());
  if (response->status == kHttpConflict) {
    return core::MakeStatus(ResultCode::kOrderRefused,
                            "the endpoint has seen a higher fencing number");
  }
  if (response->status >= kMinHttpFailureStatus) {
    return core::MakeStatus(ResultCode::kEndpointFailed,
                            fmt::format("HTTP {}", response->status));
  }
  return absl::OkStatus();
}

http::ClientRequest MakeRequest(std::string method,
                                const core::SocketAddress& address) {
  http::ClientRequest request;
  request.method = std::move(method);
  request.address = address;
  request.target = std::string(kOrdersPath);
  request.total_timeout = kOrderTimeout;
  return request;
}

}  // namespace

OrderDriver::OrderDriver(OrderContext context,
                         std::string holder,
                         const intent::OrderOptions& options)
    : context_(std::move(context)),
      controller_(std::move(holder), options),
      timer_(context_.loop->NewTimer([this] { Tick(); })) {
  timer_->StartRepeating(kTickPeriod);
}

OrderDriver::~OrderDriver() {
  *alive_ = false;
}

void OrderDriver::Tick() {
  for (const intent::OrderAction& action :
       controller_.Tick(context_.loop->Now())) {
    std::visit([this](const auto& it) { Perform(it); }, action);
  }
}

void OrderDriver::Perform(const intent::ReadClaims& action) {
  const core::TimePoint asked_at = context_.loop->Now();
  context_.log->Read(
      std::string(kClaimsStream), action.from, core::Duration::zero(),
      [this, asked_at,
       alive = alive_](const absl::StatusOr<platform::LogPage>& page) {
        if (!*alive) {
          return;
        }
        if (core::CodeOf(page.status()) == ResultCode::kRecordsTruncated) {
          FetchFirstKeptClaim();
          return;
        }
        controller_.OnClaims(asked_at, page);
      });
}

void OrderDriver::FetchFirstKeptClaim() {
  context_.log->Bounds(
      std::string(kClaimsStream),
      [this, alive = alive_](const absl::StatusOr<platform::LogPage>& bounds) {
        if (*alive) {
          controller_.OnClaimsTruncated(bounds.ok() ? bounds->first_retained
                                                    : 0);
        }
      });
}

void OrderDriver::Perform(const intent::AppendClaim& action) {
  const core::PoolId pool = action.claim.pool;
  context_.log->Append(
      std::string(kClaimsStream), intent::EncodeClaim(action.claim),
      [this, pool, alive = alive_](const absl::StatusOr<platform::Offset>& it) {
        if (!*alive) {
          return;
        }
        if (it.ok()) {
          context_.events->Record(
              EventCode::kClaimWon, "",
              fmt::format("pool={} offset={}", pool.value(), *it));
        }
        controller_.OnClaimAppended(pool);
      });
}

void OrderDriver::Perform(const intent::ReadEndpointState& action) {
  const std::string& endpoint = action.endpoint;
  context_.http_client->Fetch(
      MakeRequest("GET", context_.address_of(endpoint)),
      [this, endpoint,
       alive = alive_](const absl::StatusOr<http::ClientResponse>& response) {
        if (*alive) {
          controller_.OnEndpointState(context_.loop->Now(), endpoint,
                                      ParseState(response));
        }
      });
}

void OrderDriver::Perform(const intent::SendOrder& action) {
  http::ClientRequest request =
      MakeRequest("POST", context_.address_of(action.endpoint));
  request.body = intent::DumpJson(
      intent::ItemValueToJson(intent::ItemValue(action.state)));
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add(std::string(http::kFencingHeader),
                      std::to_string(action.fencing_number));
  context_.events->Record(
      action.is_correction ? EventCode::kOrderCorrected : EventCode::kOrderSent,
      "",
      fmt::format("endpoint={} model={} version={} role={} fencing={}",
                  action.endpoint, action.state.model, action.state.version,
                  action.state.role, action.fencing_number));
  context_.http_client->Fetch(
      request, [this, action, alive = alive_](
                   const absl::StatusOr<http::ClientResponse>& response) {
        if (*alive) {
          OnOrderAnswer(action, OrderStatus(response));
        }
      });
}

void OrderDriver::OnOrderAnswer(const intent::SendOrder& order,
                                const absl::Status& status) {
  if (!status.ok()) {
    context_.events->Record(
        EventCode::kOrderRefused, "",
        fmt::format("endpoint={} fencing={} reason={}", order.endpoint,
                    order.fencing_number, core::MessageOf(status)));
  }
  controller_.OnOrderAnswered(context_.loop->Now(), order.endpoint, status);
}

}  // namespace wasabi::control
