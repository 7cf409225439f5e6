#include "Utilities/Wasabictl/control_client.h"

#include <optional>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibIntent/configuration_json.h"

namespace wasabi::wasabictl {

namespace {

using core::ResultCode;

// Returns the error in the body of a response, or OK if it has none.
absl::Status StatusOf(const nlohmann::json& body) {
  const nlohmann::json& error = intent::MemberOf(body, "error");
  if (!error.is_object()) {
    return absl::OkStatus();
  }
  int64_t code = static_cast<int64_t>(ResultCode::kEndpointFailed);
  int64_t retry_after_ms = -1;
  std::string message = "the control daemon gave no reason";
  TRY(intent::ReadMember(error, "code", &code));
  TRY(intent::ReadMember(error, "message", &message));
  TRY(intent::ReadMember(error, "retry_after_ms", &retry_after_ms));
  const auto result_code = static_cast<ResultCode>(code);
  if (retry_after_ms >= 0) {
    return core::MakeRefusal(result_code, message,
                             core::milliseconds(retry_after_ms));
  }
  return core::MakeStatus(result_code, message);
}

// Returns true if another daemon may be able to serve the request.
bool ShouldTryNextDaemon(const ControlAnswer& answer) {
  const ResultCode code = core::CodeOf(answer.status);
  return code == ResultCode::kUnknownPlan || code == ResultCode::kStopping;
}

}  // namespace

ControlClient::ControlClient(std::vector<core::SocketAddress> addresses,
                             core::Duration timeout)
    : addresses_(std::move(addresses)), timeout_(timeout), client_(&loop_) {}

absl::StatusOr<ControlAnswer> ControlClient::Call(const std::string& method,
                                                  const std::string& target,
                                                  const std::string& body) {
  absl::StatusOr<ControlAnswer> last = core::MakeStatus(
      ResultCode::kPeerUnreachable, "no control daemon address is given");
  for (const core::SocketAddress& address : addresses_) {
    absl::StatusOr<ControlAnswer> answer =
        CallOne(address, method, target, body);
    const bool is_unreachable =
        !answer.ok() &&
        core::CodeOf(answer.status()) == ResultCode::kPeerUnreachable;
    if (!is_unreachable && !(answer.ok() && ShouldTryNextDaemon(*answer))) {
      return answer;
    }
    // A response takes precedence over the error of an unreachable daemon.
    if (answer.ok() || !last.ok()) {
      last = std::move(answer);
    }
  }
  return last;
}

absl::StatusOr<ControlAnswer> ControlClient::CallOne(
    const core::SocketAddress& address,
    const std::string& method,
    const std::string& target,
    const std::string& body) {
  http::ClientRequest request;
  request.method = method;
  request.address = address;
  request.target = target;
  request.body = body;
  request.total_timeout = timeout_;
  request.needs_fresh_connection = true;
  if (!body.empty()) {
    request.headers.Add("Content-Type", "application/json");
  }
  std::optional<absl::StatusOr<http::ClientResponse>> response;
  client_.Fetch(request, [&](absl::StatusOr<http::ClientResponse> it) {
    response = std::move(it);
    loop_.Stop();
  });
  loop_.Run();
  if (!response->ok()) {
    const absl::Status& status = response->status();
    return core::MakeStatus(
        core::CodeOf(status),
        fmt::format("{}: {}", address.ToString(), core::MessageOf(status)));
  }
  ControlAnswer answer;
  answer.http_status = (*response)->status;
  answer.body = nlohmann::json::parse((*response)->body, nullptr,
                                      /*allow_exceptions=*/false);
  if (answer.body.is_discarded()) {
    return core::MakeStatus(
        ResultCode::kMalformedMessage,
        fmt::format("{}: the response is not JSON", address.ToString()));
  }
  answer.status = StatusOf(answer.body);
  return answer;
}

}  // namespace wasabi::wasabictl
