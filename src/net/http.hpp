// HTTP/1.1 messages (RFC 9112) on net::Loop, parsed by Boost.Beast, and a keep-alive client.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/socket.hpp"

namespace gorsemount::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method = "GET", target = "/";
  Headers headers;
  std::string body;
  bool keep_alive = true;
};
struct Response {
  unsigned status = 0;
  Headers headers;
  std::string body;
  bool keep_alive = true;
  [[nodiscard]] const std::string* header(std::string_view name) const;
};

[[nodiscard]] std::string write(const Request& request, const std::string& host);
[[nodiscard]] std::string write(const Response& response);

// Parses consecutive messages. `feed` returns how many bytes were consumed; the caller passes the rest again,
// followed by new bytes. Headers of more than 8 KiB and a body of more than `max_body_bytes` are errors.
template <class Message>
class HttpReader {
 public:
  explicit HttpReader(std::size_t max_body_bytes = 1U << 20U);
  ~HttpReader();
  HttpReader(HttpReader&&) noexcept;
  HttpReader& operator=(HttpReader&&) noexcept;
  std::size_t feed(std::string_view bytes);
  [[nodiscard]] std::optional<Message> take();     // the message, once complete
  [[nodiscard]] const std::string& error() const;  // not empty: the peer sent invalid HTTP
  // The peer closed the connection; true if that completes a message.
  bool end();

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

// One keep-alive connection with one request at a time. A request that times out closes the connection, so
// that a late response is never attributed to the next request.
class HttpClient {
 public:
  // refused: ECONNREFUSED; no_connection: connecting failed for another reason.
  enum class Outcome { answered, refused, no_connection, connection_lost, timed_out, malformed };
  struct Result {
    Outcome outcome = Outcome::answered;
    Response response;
    Instant requested_at;
    Span latency;
    std::string error;  // parse error of a malformed response
    bool sent = false;  // the request may have reached the peer
  };
  using Done = std::function<void(Result)>;

  HttpClient(Loop& loop, Endpoint server, std::optional<Address> source = {},
             std::size_t max_body_bytes = 1U << 20U);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Must not be called while busy().
  void send(const Request& request, Span timeout, Done done);
  [[nodiscard]] bool busy() const { return static_cast<bool>(done_); }
  [[nodiscard]] bool connected() const { return connection_ && connection_->open(); }

 private:
  void handle_connect(Fd fd, int error);
  void complete(Outcome outcome, std::string error = {});
  std::size_t handle_data(std::string_view bytes);

  Loop& loop_;
  Endpoint server_;
  std::optional<Address> source_;
  std::size_t max_body_bytes_;
  std::shared_ptr<void> connect_attempt_;
  std::shared_ptr<Connection> connection_;
  HttpReader<Response> reader_;
  std::string request_bytes_;
  Done done_;
  Instant requested_at_;
  bool sent_ = false, reused_ = false;
  Loop::Timer timeout_;
};

[[nodiscard]] const char* name_of(HttpClient::Outcome outcome);

}  // namespace gorsemount::net
