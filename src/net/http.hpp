// HTTP/1.1 messages (RFC 9112) by Boost.Beast, fed from our own loop; a keep-alive client.
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

// Reads messages one after another. `feed` returns how many bytes it used; what it did not use is offered
// again with more behind it. Headers of over 8 KiB or a body over `body_most` are faults.
template <class Message>
class HttpReader {
 public:
  explicit HttpReader(std::size_t body_most = 1U << 20U);
  ~HttpReader();
  HttpReader(HttpReader&&) noexcept;
  HttpReader& operator=(HttpReader&&) noexcept;
  std::size_t feed(std::string_view bytes);
  [[nodiscard]] std::optional<Message> take();     // the message, once whole
  [[nodiscard]] const std::string& error() const;  // not empty: the peer does not speak HTTP
  // The peer closed; true if that ends a message whole.
  bool end();

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

// One keep-alive connection, one request at a time. A request that is not answered in time closes the
// connection, so that a late answer is never taken for the next one's.
class HttpClient {
 public:
  // refused: the machine says that nothing listens there; no_connection: none stood for another reason.
  enum class Outcome { answered, refused, no_connection, reset, timed_out, garbled };
  struct Result {
    Outcome outcome = Outcome::answered;
    Response response;
    Instant requested_at;
    Span latency;
    std::string why;    // of what was garbled
    bool sent = false;  // the request may have reached the peer
  };
  using Done = std::function<void(Result)>;

  HttpClient(Loop& loop, Endpoint to, std::optional<Address> from = {}, std::size_t body_most = 1U << 20U);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Not while busy().
  void send(Request request, Span timeout, Done done);
  [[nodiscard]] bool busy() const { return static_cast<bool>(done_); }
  [[nodiscard]] bool connected() const { return connection_ && connection_->open(); }

 private:
  void connected_as(Fd fd, int fault);
  void end(Outcome outcome, std::string why = {});
  std::size_t data(std::string_view bytes);

  Loop& loop_;
  Endpoint to_;
  std::optional<Address> from_;
  std::size_t body_most_;
  std::shared_ptr<void> attempt_;
  std::shared_ptr<Connection> connection_;
  HttpReader<Response> reader_;
  std::string bytes_;
  Done done_;
  Instant requested_at_;
  bool sent_ = false, reused_ = false;
  Loop::Timer timeout_;
};

[[nodiscard]] const char* name_of(HttpClient::Outcome outcome);

}  // namespace gorsemount::net
