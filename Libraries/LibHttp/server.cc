#include "LibHttp/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::http {

namespace {

// Time for requests that clients have sent before the server stopped listening
// and that have not arrived, or have not been read.
constexpr core::Duration kLastRequestTime = core::milliseconds(500);
constexpr int kPayloadTooLarge = 413;
constexpr int kUnavailable = 503;
// Buffer size for reads from the body of a streamed response.
constexpr size_t kStreamBlockBytes = 16U << 10U;

MHD_Result AddHeader(void* user,
                     MHD_ValueKind /*kind*/,
                     const char* name,
                     const char* value) {
  static_cast<Headers*>(user)->Add(name, value == nullptr ? "" : value);
  return MHD_YES;
}

MHD_Result AddQueryItem(void* user,
                        MHD_ValueKind /*kind*/,
                        const char* name,
                        const char* value) {
  auto* query = static_cast<std::map<std::string, std::string>*>(user);
  (*query)[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

size_t BytesOf(const Headers& headers) {
  size_t bytes = 0;
  for (const Headers::Field& field : headers.fields()) {
    bytes += field.first.size() + field.second.size();
  }
  return bytes;
}

void RespondTooLarge(Exchange* exchange) {
  exchange->Respond(
      kPayloadTooLarge,
      {{"Content-Type", "application/json"},
       {std::string(kResultCodeHeader),
        std::to_string(static_cast<int>(core::ResultCode::kRequestTooLarge))}},
      R"({"error":{"code":201,"name":"request_too_large",)"
      R"("message":"the body or the headers are too large"}})");
}

std::string PeerAddress(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info == nullptr || info->client_addr->sa_family != AF_INET) {
    return "";
  }
  sockaddr_in native{};
  std::memcpy(&native, info->client_addr, sizeof(native));
  return core::SocketAddress::FromNative(native).ToString();
}

}  // namespace

// A request that is being received. `exchange` is set once it is complete.
struct Server::PendingRequest {
  Request request;
  bool is_too_large = false;
  bool is_rejected = false;
  std::shared_ptr<Exchange> exchange;
};

// Adapts the C callbacks of libmicrohttpd.
struct Server::Callbacks {
  static MHD_Result OnRequest(void* user,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char* /*version*/,
                              const char* upload,
                              size_t* upload_size,
                              void** pending) {
    return static_cast<MHD_Result>(static_cast<Server*>(user)->OnRequest(
        connection, url, method, upload, upload_size,
        reinterpret_cast<PendingRequest**>(pending)));
  }

  static void OnCompleted(void* user,
                          MHD_Connection* /*connection*/,
                          void** pending,
                          MHD_RequestTerminationCode /*reason*/) {
    static_cast<Server*>(user)->OnCompleted(
        static_cast<PendingRequest*>(*pending));
    *pending = nullptr;
  }

  static ssize_t ReadStream(void* user,
                            uint64_t /*position*/,
                            char* buf,
                            size_t max) {
    auto* exchange = static_cast<Exchange*>(user);
    const size_t n = std::min(max, exchange->unsent_bytes());
    if (n > 0) {
      std::memcpy(buf, exchange->buffer_.data() + exchange->buffer_offset_, n);
      exchange->buffer_offset_ += n;
      if (exchange->unsent_bytes() == 0) {
        exchange->buffer_.clear();
        exchange->buffer_offset_ = 0;
      }
      return static_cast<ssize_t>(n);
    }
    if (exchange->aborted_) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (exchange->finished_) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    MHD_suspend_connection(exchange->connection_);
    exchange->suspended_ = true;
    return 0;
  }

  // Frees the reference that ReadStreamHolder uses.
  static void ReleaseStream(void* user) {
    delete static_cast<std::shared_ptr<Exchange>*>(user);
  }

  static ssize_t ReadStreamHolder(void* user,
                                  uint64_t position,
                                  char* buf,
                                  size_t max) {
    return ReadStream(static_cast<std::shared_ptr<Exchange>*>(user)->get(),
                      position, buf, max);
  }
};

absl::StatusOr<std::unique_ptr<Server>> Server::Create(
    core::EventLoop* loop,
    const ServerOptions& options,
    Handler handler) {
  std::unique_ptr<Server> server(new Server(loop, options, std::move(handler)));
  TRY(server->Start());
  return server;
}

Server::Server(core::EventLoop* loop,
               const ServerOptions& options,
               Handler handler)
    : loop_(loop), options_(options), handler_(std::move(handler)) {}

Server::~Server() {
  *alive_ = false;
  watcher_.reset();
  timer_.reset();
  for (const AcceptedSocket& it : accepted_) {
    close(it.descriptor);
  }
  if (daemon_ == nullptr) {
    return;
  }
  // libmicrohttpd forbids stopping a daemon that has suspended connections.
  // Abort resumes them.
  for (const std::shared_ptr<Exchange>& exchange : exchanges_) {
    exchange->Abort();
  }
  MHD_stop_daemon(daemon_);
}

absl::Status Server::Start() {
  const sockaddr_in native = options_.address.ToNative();
  constexpr unsigned kListenBacklog = 1024;
  constexpr unsigned kConnectionLimit = 20000;
  daemon_ = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0, nullptr,
      nullptr, &Callbacks::OnRequest, this, MHD_OPTION_SOCK_ADDR, &native,
      MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::OnCompleted, this,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, options_.connection_memory_bytes,
      MHD_OPTION_CONNECTION_TIMEOUT, options_.idle_timeout_seconds,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog,
      MHD_OPTION_CONNECTION_LIMIT, kConnectionLimit, MHD_OPTION_END);
  if (daemon_ == nullptr) {
    return core::MakeStatus(
        core::ResultCode::kCannotListen,
        fmt::format("can't listen on {}", options_.address.ToString()));
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
  watcher_ = loop_->Watch(info->epoll_fd, [this](bool, bool) { RunDaemon(); });
  timer_ = loop_->NewTimer([this] { RunDaemon(); });
  return absl::OkStatus();
}

void Server::StopListening() {
  if (is_stopped_listening_) {
    return;
  }
  is_stopped_listening_ = true;
  awaits_requests_until_ = loop_->Now() + kLastRequestTime;
  const MHD_socket listener = MHD_quiesce_daemon(daemon_);
  if (listener == MHD_INVALID_SOCKET) {
    return;
  }
  accepted_ = AcceptWaiting(listener);
  close(listener);
  // A handler may be running, in which libmicrohttpd can't be called.
  loop_->Post([this, alive = alive_] {
    if (*alive) {
      AddAccepted();
    }
  });
}

void Server::AddAccepted() {
  for (const AcceptedSocket& it : std::exchange(accepted_, {})) {
    // Closes the socket if it fails.
    if (MHD_add_connection(daemon_, it.descriptor,
                           reinterpret_cast<const sockaddr*>(&it.peer),
                           sizeof(it.peer)) != MHD_YES &&
        reject_observer_) {
      reject_observer_(kUnavailable);
    }
  }
  RunDaemon();
}

size_t Server::connection_count() const {
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return info == nullptr ? 0 : info->num_connections;
}

size_t Server::open_exchanges() const {
  if (loop_->Now() >= awaits_requests_until_) {
    return open_exchanges_;
  }
  return std::max(open_exchanges_, accepted_.size() + connection_count());
}

void Server::RunDaemon() {
  MHD_run(daemon_);
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  if (MHD_get_timeout(daemon_, &timeout_ms) != MHD_YES) {
    timer_->Stop();
    return;
  }
  if (timeout_ms == 0) {
    ScheduleRun();
    return;
  }
  timer_->StartOnce(core::milliseconds(timeout_ms));
}

void Server::ScheduleRun() {
  if (run_scheduled_) {
    return;
  }
  run_scheduled_ = true;
  loop_->Post([this, alive = alive_] {
    if (!*alive) {
      return;
    }
    run_scheduled_ = false;
    RunDaemon();
  });
}

int Server::OnRequest(MHD_Connection* connection,
                      const char* url,
                      const char* method,
                      const char* upload,
                      size_t* upload_size,
                      PendingRequest** pending) {
  if (*pending == nullptr) {
    auto* fresh = new PendingRequest;
    ++open_exchanges_;
    fresh->request.method = method;
    fresh->request.path = url;
    fresh->request.peer = PeerAddress(connection);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                              &fresh->request.headers);
    fresh->is_too_large =
        BytesOf(fresh->request.headers) > options_.max_header_bytes;
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddQueryItem,
                              &fresh->request.query);
    *pending = fresh;
    return MHD_YES;
  }
  PendingRequest* it = *pending;
  if (*upload_size > 0) {
    if (it->request.body.size() + *upload_size > options_.max_body_bytes) {
      it->is_too_large = true;
    } else {
      it->request.body.append(upload, *upload_size);
    }
    *upload_size = 0;
    return MHD_YES;
  }
  if (it->exchange == nullptr) {
    it->exchange = std::make_shared<Exchange>(std::move(it->request));
    Exchange* exchange = it->exchange.get();
    exchanges_.insert(it->exchange);
    exchange->connection_ = connection;
    exchange->schedule_run_ = [this, alive = alive_] {
      if (*alive) {
        ScheduleRun();
      }
    };
    if (it->is_too_large) {
      if (reject_observer_) {
        reject_observer_(kPayloadTooLarge);
      }
      RespondTooLarge(exchange);
    } else {
      handler_(it->exchange);
    }
  }
  if (!it->exchange->started_) {
    if (it->exchange->aborted_) {
      return MHD_NO;
    }
    MHD_suspend_connection(connection);
    it->exchange->suspended_ = true;
    return MHD_YES;
  }
  return QueueResponse(it->exchange.get());
}

int Server::QueueResponse(Exchange* exchange) {
  if (exchange->response_queued_) {
    return MHD_YES;
  }
  exchange->response_queued_ = true;
  MHD_Response* response = nullptr;
  if (exchange->is_stream_) {
    auto holder = std::make_unique<std::shared_ptr<Exchange>>(
        exchange->shared_from_this());
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kStreamBlockBytes, &Callbacks::ReadStreamHolder,
        holder.release(), &Callbacks::ReleaseStream);
  } else {
    response = MHD_create_response_from_buffer(exchange->buffer_.size(),
                                               exchange->buffer_.data(),
                                               MHD_RESPMEM_MUST_COPY);
  }
  for (const Headers::Field& field : exchange->response_headers_.fields()) {
    MHD_add_response_header(response, field.first.c_str(),
                            field.second.c_str());
  }
  if (is_stopped_listening_) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result result =
      MHD_queue_response(exchange->connection_,
                         static_cast<unsigned>(exchange->status_), response);
  MHD_destroy_response(response);
  return result;
}

void Server::OnCompleted(PendingRequest* pending) {
  if (pending == nullptr) {
    return;
  }
  --open_exchanges_;
  if (const std::shared_ptr<Exchange> exchange = pending->exchange) {
    exchange->connection_ = nullptr;
    exchanges_.erase(exchange);
    if (exchange->on_closed_) {
      const std::function<void()> on_closed = std::move(exchange->on_closed_);
      exchange->on_closed_ = nullptr;
      on_closed();
    }
  }
  delete pending;
}

}  // namespace wasabi::http
