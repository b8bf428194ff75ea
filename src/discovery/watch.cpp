#include "discovery/watch.hpp"

#include <algorithm>
#include <cerrno>
#include <exception>
#include <utility>

#include "net/http.hpp"
#include "net/http_stream.hpp"

namespace gorsemount::discovery {

namespace {

constexpr std::size_t kMaxBodyBytes = 4U << 20U;  // fits a list of 10,000 backends

}  // namespace

// One HTTP call: a watch, or a request for the full list.
struct Watch::Call {
  explicit Call(net::Loop& on) : loop{on} {}
  ~Call() {
    loop.cancel(deadline);
    if (connection) connection->abort();
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  net::Loop& loop;
  Endpoint endpoint;
  Instant started_at;
  bool is_watch = true;
  std::shared_ptr<void> connect_attempt;
  std::shared_ptr<net::Connection> connection;
  net::HttpStream response;
  std::string buffer;              // received part of a line, or of the full list
  std::size_t searched_bytes = 0;  // of `buffer`, which hold no end of a line
  bool established = false;        // a watch that has received its first line, even an empty one
  bool silent = false;             // no line within the silence timeout; a replacement is requested
  net::Loop::Timer deadline;
};

Watch::Watch(net::Loop& loop, Endpoint endpoint, Timeouts timeouts, std::uint64_t seed, Callbacks callbacks)
    : loop_{loop},
      endpoint_{endpoint},
      timeouts_{timeouts},
      callbacks_{std::move(callbacks)},
      rng_{static_cast<std::uint32_t>(seed)} {}

Watch::~Watch() {
  *alive_ = false;
  loop_.cancel(silence_timer_), loop_.cancel(retry_timer_);
}

bool Watch::established() const { return established_ != nullptr; }

void Watch::subscribe() {
  if (!pending_ && !established_) start();
}

void Watch::set_endpoint(Endpoint endpoint) {
  if (endpoint == endpoint_) return;
  endpoint_ = endpoint;
  if (pending_) retire(pending_);  // it targets the old endpoint
  if (!established_ || !(established_->endpoint == endpoint_))
    start();  // skipped if the established watch is already at this endpoint
}

// Ends the call with `reason` at `until`, unless another deadline replaces this one first.
void Watch::set_deadline(Call& call, Instant until, const char* reason) {
  loop_.cancel(call.deadline);
  call.deadline = loop_.at(until, [this, &call, reason] { end_call(call, reason); });
}

void Watch::start() {
  loop_.cancel(retry_timer_);
  pending_ = std::make_unique<Call>(loop_);
  Call* call = pending_.get();
  call->endpoint = endpoint_;
  call->started_at = loop_.now();
  call->is_watch = !needs_resync_;
  set_deadline(*call, loop_.now() + timeouts_.connect, "connect timed out");
  call->connect_attempt = net::connect(loop_, endpoint_, {}, [this, call](net::Fd fd, int error) {
    if (!fd) return end_call(*call, error == ECONNREFUSED ? "connection refused" : "connect failed");
    set_deadline(*call, loop_.now() + timeouts_.response, "response timed out");
    call->connection = net::Connection::make(
        loop_, std::move(fd), {kMaxBodyBytes, 1U << 16U, Span{}, true, net::ReadPriority::high},
        [this, call](std::string_view bytes) -> std::size_t {
          if (!is_current(*call)) return bytes.size();
          // A response may arrive slowly as long as it makes progress, up to the total timeout.
          if (!call->established)
            set_deadline(*call, std::min(loop_.now() + timeouts_.silence, call->started_at + timeouts_.total),
                         "response stalled");
          const std::size_t consumed = call->response.feed(bytes);
          if (consumed > 0) handle_response(*call);
          return consumed;
        },
        [this, call](const char* reason) {
          call->response.end();  // a response without a length ends with the connection
          if (is_current(*call) && call->response.done()) handle_response(*call);
          end_call(*call, reason);
        });
    net::Request request;
    request.target =
        call->is_watch ? "/api/targets?watch=1&from=" + std::to_string(version_) : "/api/targets";
    call->connection->send(net::write(request, endpoint_.text()));
  });
}

Span Watch::jittered_retry_delay() {
  return timeouts_.retry_delay * std::uniform_real_distribution<>{0.5, 1.5}(rng_);
}

void Watch::subscribe_after_delay() {
  loop_.cancel(retry_timer_);
  retry_timer_ = loop_.after(jittered_retry_delay(), [this] { subscribe(); });
}

// Retries while the established watch is silent or at an old endpoint.
void Watch::start_after_delay() {
  loop_.cancel(retry_timer_);
  retry_timer_ = loop_.after(jittered_retry_delay(), [this] {
    if (!pending_ && established_ && (established_->silent || !(established_->endpoint == endpoint_)))
      start();
  });
}

// Handles newly received parts of the response.
void Watch::handle_response(Call& call) {
  const auto resync = [&](const std::string& reason) {
    needs_resync_ = true;
    end_call(call, reason);
  };
  if (!call.response.error().empty()) return resync("invalid HTTP response: " + call.response.error());
  if (call.response.status() == 0) return;
  if (call.response.status() != 200)
    return end_call(call, "status " + std::to_string(call.response.status()));
  call.buffer += call.response.take();
  if (call.is_watch) {
    std::size_t line_start = 0;
    std::size_t search_from = call.searched_bytes;
    for (std::size_t end; (end = call.buffer.find('\n', search_from)) != std::string::npos;) {
      if (!handle_line(call, std::string_view{call.buffer}.substr(line_start, end - line_start))) return;
      line_start = search_from = end + 1;
    }
    call.buffer.erase(0, line_start);
    call.searched_bytes = call.buffer.size();
    if (call.buffer.size() > kMaxBodyBytes) return resync("line exceeds the size limit");
    if (call.response.done()) end_call(call, "watch closed by the service");
  } else if (call.response.done()) {
    const std::string text = std::move(call.buffer);
    if (!handle_line(call, text)) return;
    retire(pending_);
    start();  // the resync is complete; watch for changes
  } else if (call.buffer.size() > kMaxBodyBytes) {
    resync("list exceeds the size limit");
  }
}

// A watch has received a line: it replaces the previous watch, and its timeouts start again.
void Watch::mark_established(Call& call) {
  call.established = true, call.silent = false;
  if (pending_.get() == &call) {
    if (established_) retire(established_);
    established_ = std::move(pending_);
  }
  set_deadline(call, loop_.now() + timeouts_.watch_expiry, "silent");
  loop_.cancel(silence_timer_);
  silence_timer_ = loop_.after(timeouts_.silence, [this] {
    if (!established_) return;
    established_->silent = true;
    if (!pending_) start();
  });
}

// Returns false if the call has ended.
bool Watch::handle_line(Call& call, std::string_view text) {
  const auto resync = [&](const std::string& reason) {
    needs_resync_ = true;
    end_call(call, reason);
    return false;
  };
  if (text.find_first_not_of(" \r\t") == std::string_view::npos) {
    // An empty response to a list request is an error. Accepting it would request the list again at once,
    // endlessly.
    if (!call.is_watch) return resync("empty response");
    mark_established(call);
    return true;
  }
  BackendList list;
  try {
    list = read_backend_list(text);
  } catch (const std::exception& error) {
    return resync(std::string{"invalid list: "} + error.what());
  }
  if (!call.is_watch && !list.full) list.full = true;  // the request was for the full list
  if (list.version < version_) {
    // Changes older than the version they are based on: the service has lost its state.
    if (!list.full) return resync("changes are older than the current list");
    // A full list older than ours is either stale or from a service that has restarted. It is requested
    // again, and accepted if the second one is older too. A stale response must not restore removed backends
    // or remove present ones.
    if (!std::exchange(saw_older_list_, true)) return resync("full list is older than the current list");
  }
  saw_older_list_ = false;
  if (list.full) needs_resync_ = false;
  version_ = list.version;
  if (call.is_watch) mark_established(call);
  callbacks_.on_list(std::move(list));
  return true;
}

bool Watch::is_current(const Call& call) const {
  return established_.get() == &call || pending_.get() == &call;
}

// The call may be on the current call stack, so it is destroyed in a later turn of the loop. Until then no
// new call can get the same address.
void Watch::retire(std::unique_ptr<Call>& call) {
  loop_.cancel(call->deadline);
  loop_.call_soon([retired = std::shared_ptr<Call>{std::move(call)}] {});
}

void Watch::end_call(Call& call, const std::string& reason) {
  if (!is_current(call)) return;
  const bool was_established = established_.get() == &call;
  retire(was_established ? established_ : pending_);
  if (was_established && pending_) return;  // the pending call decides
  if (!was_established && established_) return start_after_delay();
  loop_.call_soon([this, alive = alive_, reason] {
    if (*alive && !pending_ && !established_) callbacks_.on_failure(reason);
  });
}

}  // namespace gorsemount::discovery
