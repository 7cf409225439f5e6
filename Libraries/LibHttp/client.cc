#include "LibHttp/client.h"

#include <curl/curl.h>

#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibHttp/answer_syntax.h"
#include "LibHttp/open_sockets.h"

namespace wasabi::http {

namespace {

using core::MakeStatus;
using core::ResultCode;

// Limit of the size of all headers of a response, including interim ones.
constexpr size_t kMaxHeaderBytes = 64U << 10U;

// Converts the result of a transfer to the status that
// ClientCallbacks::on_done describes.
absl::Status TransferStatus(CURLcode code,
                            bool was_sent,
                            bool is_malformed,
                            bool is_oversized,
                            bool has_whole_head) {
  if (is_malformed) {
    return MakeStatus(ResultCode::kMalformedAnswer,
                      "the head of the response is malformed");
  }
  if (is_oversized) {
    return MakeStatus(ResultCode::kMalformedAnswer,
                      "the response exceeds its size limit");
  }
  const std::string text = curl_easy_strerror(code);
  switch (code) {
    case CURLE_OK:
      // libcurl takes the end of the connection for the end of the head.
      return has_whole_head ? absl::OkStatus()
                            : MakeStatus(ResultCode::kAnswerTruncated,
                                         "the response ends inside its head");
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      // A request whose reused connection ended without an answer is sent again
      // on a new one. The server may have run it.
      return was_sent ? MakeStatus(ResultCode::kAnswerTruncated, text)
                      : MakeStatus(ResultCode::kPeerUnreachable, text);
    case CURLE_OPERATION_TIMEDOUT:
      return was_sent ? MakeStatus(ResultCode::kDeadlineExceeded, text)
                      : MakeStatus(ResultCode::kPeerUnreachable, text);
    default:
      return MakeStatus(ResultCode::kAnswerTruncated, text);
  }
}

// Returns false if only the end of the connection delimits a response's body.
bool IsDelimited(int status, const Headers& headers) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status == kNoContent || status == kNotModified ||
         headers.Find("Content-Length").has_value() ||
         headers.Find("Transfer-Encoding").has_value();
}

core::SocketAddress AddressOf(const char* ip, int port) {
  return core::SocketAddress::Parse(fmt::format("{}:{}", ip, port))
      .value_or(core::SocketAddress());
}

// Returns the bytes that a transfer sent and received, including headers.
uint64_t TransferredBytes(CURL* easy) {
  long request_bytes = 0;
  long header_bytes = 0;
  curl_off_t uploaded = 0;
  curl_off_t downloaded = 0;
  curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &header_bytes);
  curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
  return static_cast<uint64_t>(request_bytes + header_bytes + uploaded +
                               downloaded);
}

}  // namespace

struct Client::State : std::enable_shared_from_this<Client::State> {
  struct Call;

  explicit State(core::EventLoop* event_loop);
  ~State();
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Start(const std::shared_ptr<Call>& call, const ClientRequest& request);
  void Act(curl_socket_t socket, int events);
  void CollectFinished();
  // Sends the request of a call again, on a new connection.
  void StartAgain(Call* call);
  void Remove(Call* call);

  static int OnSocket(CURL* easy,
                      curl_socket_t socket,
                      int what,
                      void* user,
                      void* socket_user);
  static int OnTimer(CURLM* multi, long timeout_ms, void* user);
  static curl_socket_t OnOpen(void* user,
                              curlsocktype purpose,
                              curl_sockaddr* address);
  static int OnClose(void* user, curl_socket_t socket);

  core::EventLoop* loop;
  CURLM* multi;
  std::unique_ptr<core::Timer> timer;
  std::map<curl_socket_t, std::unique_ptr<core::IoWatcher>> watchers;
  std::map<CURL*, std::shared_ptr<Call>> calls;
  // The call that an open connection carries, or carried last.
  std::map<curl_socket_t, std::weak_ptr<Call>> users;
  OpenSockets sockets;
  uint64_t bytes_transferred = 0;
  // Bytes of the bodies of calls in flight whose size is limited, and the limit
  // for all of them; zero means no limit.
  uint64_t fetched_bytes = 0;
  uint64_t max_fetched_bytes = 0;
};

struct Client::State::Call : ClientCall, std::enable_shared_from_this<Call> {
  explicit Call(std::weak_ptr<State> owner) : state(std::move(owner)) {}
  ~Call() override { curl_slist_free_all(header_list); }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  void Cancel() override {
    is_cancelled = true;
    if (const std::shared_ptr<State> owner = state.lock()) {
      // libcurl forbids removing a handle inside its callbacks, and one of ours
      // may be running, so the removal is posted to the loop.
      owner->loop->Post([weak = state, call = shared_from_this()] {
        call->callbacks = ClientCallbacks();
        if (const std::shared_ptr<State> it = weak.lock()) {
          it->Remove(call.get());
        }
      });
    }
  }

  // Calls on_headers unless it was called before. Runs before the first byte of
  // the body is reported.
  void ReportHeaders() {
    if (headers_reported) {
      return;
    }
    headers_reported = true;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    if (callbacks.on_headers && !is_cancelled) {
      callbacks.on_headers(static_cast<int>(status), headers);
    }
  }

  static size_t OnHeader(char* bytes, size_t size, size_t count, void* user) {
    auto* call = static_cast<Call*>(user);
    const std::string_view line(bytes, size * count);
    call->header_bytes += line.size();
    if (call->header_bytes > kMaxHeaderBytes) {
      call->is_oversized = true;
      return 0;
    }
    const bool is_status_line = line.starts_with("HTTP/");
    if (is_status_line) {
      call->headers = Headers();
      call->head_checker = AnswerHeadChecker();
      call->has_whole_head = false;
    }
    if (!line.ends_with('\n')) {
      // The connection has ended inside the head.
      return size * count;
    }
    if (call->head_checker.TakeLine(line) == AnswerHeadState::kMalformed) {
      call->is_malformed = true;
      return 0;
    }
    if (is_status_line) {
      return size * count;
    }
    if (core::Trim(line).empty()) {
      long status = 0;
      curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
      call->has_whole_head = status >= kFirstFinalStatus;
    } else if (const size_t colon = line.find(':');
               colon != std::string_view::npos) {
      call->headers.Add(std::string(core::Trim(line.substr(0, colon))),
                        std::string(core::Trim(line.substr(colon + 1))));
    }
    return size * count;
  }

  static size_t OnData(char* bytes, size_t size, size_t count, void* user) {
    auto* call = static_cast<Call*>(user);
    call->ReportHeaders();
    if (call->max_body_bytes > 0 && !call->CountFetched(size * count)) {
      call->is_oversized = true;
      return 0;
    }
    if (call->callbacks.on_data && !call->is_cancelled) {
      call->callbacks.on_data(std::string_view(bytes, size * count));
    }
    return call->is_cancelled ? 0 : size * count;
  }

  // Runs before the request is sent. Bytes that arrived on a connection before
  // answer an earlier request, and libcurl would take them for the answer to
  // this one.
  static int OnConnection(void* user,
                          char* remote_ip,
                          char* local_ip,
                          int remote_port,
                          int local_port) {
    auto* call = static_cast<Call*>(user);
    const std::shared_ptr<State> owner = call->state.lock();
    if (owner == nullptr) {
      return CURL_PREREQFUNC_OK;
    }
    const core::SocketAddress local = AddressOf(local_ip, local_port);
    const core::SocketAddress remote = AddressOf(remote_ip, remote_port);
    owner->users[owner->sockets.Find(local, remote)] = call->weak_from_this();
    call->is_cut_short = false;
    call->is_connection_unusable =
        !call->is_connection_new &&
        owner->sockets.HasWaitingBytes(local, remote);
    return call->is_connection_unusable ? CURL_PREREQFUNC_ABORT
                                        : CURL_PREREQFUNC_OK;
  }

  // Returns kAnswerTruncated if only the end of the connection ended the
  // response, and the server did not have the whole request by then.
  absl::Status CheckEnd() const {
    long status = 0;
    curl_off_t uploaded = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    const bool had_request =
        !is_cut_short && uploaded >= static_cast<curl_off_t>(body.size());
    return had_request || IsDelimited(static_cast<int>(status), headers)
               ? absl::OkStatus()
               : MakeStatus(ResultCode::kAnswerTruncated,
                            "the response ends before the server had the "
                            "whole request");
  }

  // Counts bytes of a body. Returns whether its limits allow them.
  bool CountFetched(size_t bytes) {
    const std::shared_ptr<State> owner = state.lock();
    body_bytes += bytes;
    owner->fetched_bytes += bytes;
    return body_bytes <= max_body_bytes &&
           (owner->max_fetched_bytes == 0 ||
            owner->fetched_bytes <= owner->max_fetched_bytes);
  }

  std::weak_ptr<State> state;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  ClientCallbacks callbacks;
  std::string body;
  Headers headers;
  size_t header_bytes = 0;
  uint64_t body_bytes = 0;
  uint64_t max_body_bytes = 0;
  // The connection was closed while bytes of the request were under way.
  bool is_cut_short = false;
  // The blank line after the head of the final response was received.
  bool has_whole_head = false;
  AnswerHeadChecker head_checker;
  bool headers_reported = false;
  // The request is sent on a connection that has carried no other.
  bool is_connection_new = false;
  // The request was not sent, since its connection had bytes waiting.
  bool is_connection_unusable = false;
  bool is_cancelled = false;
  // The response exceeds a size limit.
  bool is_oversized = false;
  // The head of the response is none.
  bool is_malformed = false;
};

Client::State::State(core::EventLoop* event_loop)
    : loop(event_loop), multi(curl_multi_init()) {
  timer = loop->NewTimer([this] { Act(CURL_SOCKET_TIMEOUT, 0); });
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &State::OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &State::OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  constexpr long kMaxIdleConnections = 2048;
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

Client::State::~State() {
  for (const auto& [easy, call] : calls) {
    curl_multi_remove_handle(multi, easy);
    curl_easy_cleanup(easy);
  }
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, nullptr);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, nullptr);
  curl_multi_cleanup(multi);
}

void Client::State::Start(const std::shared_ptr<Call>& call,
                          const ClientRequest& request) {
  CURL* easy = curl_easy_init();
  call->easy = easy;
  call->body = request.body;
  call->max_body_bytes = request.max_body_bytes;
  const std::string url =
      fmt::format("http://{}{}", request.address.ToString(), request.target);
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  }
  if (!call->body.empty() || request.method == "POST") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call->body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body.c_str());
  }
  for (const Headers::Field& field : request.headers.fields()) {
    call->header_list = curl_slist_append(
        call->header_list,
        fmt::format("{}: {}", field.first, field.second).c_str());
  }
  // The empty field stops libcurl from sending "Expect: 100-continue" and
  // delaying a large body until the server replies.
  call->header_list = curl_slist_append(call->header_list, "Expect:");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->header_list);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Call::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, call.get());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Call::OnData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, call.get());
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &State::OnOpen);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &State::OnClose);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  call->is_connection_new = request.needs_fresh_connection;
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Call::OnConnection);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, call.get());
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                   request.needs_fresh_connection ? 1L : 0L);
  curl_easy_setopt(
      easy, CURLOPT_CONNECTTIMEOUT_MS,
      static_cast<long>(core::ToMilliseconds(request.connect_timeout)));
  curl_easy_setopt(
      easy, CURLOPT_TIMEOUT_MS,
      static_cast<long>(core::ToMilliseconds(request.total_timeout)));
  calls[easy] = call;
  curl_multi_add_handle(multi, easy);
}

void Client::State::Act(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(multi, socket, events, &running);
  CollectFinished();
}

void Client::State::CollectFinished() {
  const std::shared_ptr<State> keep_alive = shared_from_this();
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    const auto it = calls.find(message->easy_handle);
    if (it == calls.end()) {
      continue;
    }
    const std::shared_ptr<Call> call = it->second;
    if (call->is_connection_unusable && !call->is_cancelled) {
      StartAgain(call.get());
      continue;
    }
    long request_size = 0;
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_size);
    absl::Status status = TransferStatus(message->data.result, request_size > 0,
                                         call->is_malformed, call->is_oversized,
                                         call->has_whole_head);
    if (status.ok()) {
      status = call->CheckEnd();
    }
    if (status.ok()) {
      call->ReportHeaders();
    }
    Remove(call.get());
    if (call->callbacks.on_done && !call->is_cancelled) {
      const auto on_done = std::move(call->callbacks.on_done);
      call->callbacks = ClientCallbacks();
      on_done(status);
    }
  }
}

void Client::State::StartAgain(Call* call) {
  curl_multi_remove_handle(multi, call->easy);
  call->is_connection_unusable = false;
  call->is_connection_new = true;
  curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle(multi, call->easy);
}

void Client::State::Remove(Call* call) {
  CURL* easy = call->easy;
  const auto it = calls.find(easy);
  // libcurl may have given the handle of a call that has ended to another one.
  if (it == calls.end() || it->second.get() != call) {
    return;
  }
  const std::shared_ptr<Call> keep_alive = it->second;
  calls.erase(it);
  fetched_bytes -= call->body_bytes;
  bytes_transferred += TransferredBytes(easy);
  curl_multi_remove_handle(multi, easy);
  curl_easy_cleanup(easy);
}

int Client::State::OnSocket(CURL* /*easy*/,
                            curl_socket_t socket,
                            int what,
                            void* user,
                            void* /*socket_user*/) {
  auto* state = static_cast<State*>(user);
  if (what == CURL_POLL_REMOVE) {
    state->watchers.erase(socket);
    return 0;
  }
  std::unique_ptr<core::IoWatcher>& watcher = state->watchers[socket];
  if (watcher == nullptr) {
    watcher = state->loop->Watch(
        socket, [state, socket](bool readable, bool writable) {
          state->Act(socket, (readable ? CURL_CSELECT_IN : 0) |
                                 (writable ? CURL_CSELECT_OUT : 0));
        });
  }
  watcher->SetInterest((what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0);
  return 0;
}

int Client::State::OnTimer(CURLM* /*multi*/, long timeout_ms, void* user) {
  auto* state = static_cast<State*>(user);
  if (timeout_ms < 0) {
    state->timer->Stop();
  } else {
    state->timer->StartOnce(core::milliseconds(timeout_ms));
  }
  return 0;
}

curl_socket_t Client::State::OnOpen(void* user,
                                    curlsocktype /*purpose*/,
                                    curl_sockaddr* address) {
  return static_cast<State*>(user)->sockets.Open(
      address->family, address->socktype, address->protocol);
}

int Client::State::OnClose(void* user, curl_socket_t socket) {
  auto* state = static_cast<State*>(user);
  const auto it = state->users.find(socket);
  if (it != state->users.end()) {
    if (const std::shared_ptr<Call> call = it->second.lock()) {
      call->is_cut_short = !HasDeliveredAll(socket);
    }
    state->users.erase(it);
  }
  return state->sockets.Close(socket);
}

Client::Client(core::EventLoop* loop, uint64_t max_fetched_bytes)
    : state_(std::make_shared<State>(loop)) {
  state_->max_fetched_bytes = max_fetched_bytes;
}

Client::~Client() = default;

std::shared_ptr<ClientCall> Client::Send(const ClientRequest& request,
                                         ClientCallbacks callbacks) {
  auto call = std::make_shared<State::Call>(state_);
  call->callbacks = std::move(callbacks);
  state_->Start(call, request);
  return call;
}

std::shared_ptr<ClientCall> Client::Fetch(
    const ClientRequest& request,
    std::function<void(absl::StatusOr<ClientResponse>)> callback) {
  auto response = std::make_shared<ClientResponse>();
  ClientCallbacks callbacks;
  callbacks.on_headers = [response](int status, const Headers& headers) {
    response->status = status;
    response->headers = headers;
  };
  callbacks.on_data = [response](std::string_view chunk) {
    response->body += chunk;
  };
  callbacks.on_done =
      [response, callback = std::move(callback)](const absl::Status& status) {
        if (!status.ok()) {
          callback(status);
          return;
        }
        callback(std::move(*response));
      };
  ClientRequest bounded = request;
  if (bounded.max_body_bytes == 0) {
    bounded.max_body_bytes = kDefaultMaxFetchBytes;
  }
  return Send(bounded, std::move(callbacks));
}

bool ClientResponse::IsDelimited() const {
  return http::IsDelimited(status, headers);
}

uint64_t Client::bytes_transferred() const {
  return state_->bytes_transferred;
}

size_t Client::calls_in_flight() const {
  return state_->calls.size();
}

}  // namespace wasabi::http
