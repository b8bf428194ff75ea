#include "net/http.hpp"

#include <algorithm>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <sstream>

#include "net/beast_feed.hpp"

namespace gorsemount::net {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxHeaderBytes = 8192;

template <class Message, class Wire>
void copy_common(Message& out, Wire&& wire) {
  for (const auto& field : wire)
    out.headers.emplace_back(std::string{field.name_string()}, std::string{field.value()});
  out.keep_alive = wire.keep_alive();
  out.body = std::move(wire.body());
}

template <class Message>
struct MessageTraits;
template <>
struct MessageTraits<Request> {
  static constexpr bool kIsRequest = true;
  static void copy(Request& out, http::request<http::string_body>&& wire) {
    out.method = std::string{wire.method_string()}, out.target = std::string{wire.target()};
    copy_common(out, std::move(wire));
  }
};
template <>
struct MessageTraits<Response> {
  static constexpr bool kIsRequest = false;
  static void copy(Response& out, http::response<http::string_body>&& wire) {
    out.status = wire.result_int();
    copy_common(out, std::move(wire));
  }
};

template <class Wire>
std::string serialize(Wire& wire) {
  std::ostringstream out;
  out << wire;
  return std::move(out).str();
}

}  // namespace

const std::string* Response::header(std::string_view name) const {
  for (const auto& [key, value] : headers)
    if (boost::beast::iequals(key, boost::beast::string_view{name.data(), name.size()})) return &value;
  return nullptr;
}

std::string write(const Request& request, const std::string& host) {
  http::request<http::string_body> wire;
  wire.method_string(request.method);
  wire.target(request.target);
  wire.set(http::field::host, host);
  for (const auto& [key, value] : request.headers) wire.set(key, value);
  wire.keep_alive(request.keep_alive);
  wire.body() = request.body;
  wire.prepare_payload();
  return serialize(wire);
}

std::string write(const Response& response) {
  http::response<http::string_body> wire;
  wire.result(response.status);
  for (const auto& [key, value] : response.headers) wire.set(key, value);
  wire.keep_alive(response.keep_alive);
  wire.body() = response.body;
  wire.prepare_payload();
  return serialize(wire);
}

template <class Message>
struct HttpReader<Message>::Parser {
  explicit Parser(std::size_t max_body) : max_body_bytes{max_body} { reset_parser(); }
  void reset_parser() {
    wire.emplace();
    wire->eager(true);
    wire->header_limit(kMaxHeaderBytes);
    wire->body_limit(max_body_bytes);
  }
  std::size_t max_body_bytes;
  std::optional<http::parser<MessageTraits<Message>::kIsRequest, http::string_body>> wire;
  std::string error;
};

template <class Message>
HttpReader<Message>::HttpReader(std::size_t max_body_bytes)
    : parser_{std::make_unique<Parser>(max_body_bytes)} {}
template <class Message>
HttpReader<Message>::~HttpReader() = default;
template <class Message>
HttpReader<Message>::HttpReader(HttpReader&&) noexcept = default;
template <class Message>
HttpReader<Message>& HttpReader<Message>::operator=(HttpReader&&) noexcept = default;

template <class Message>
std::size_t HttpReader<Message>::feed(std::string_view bytes) {
  return feed_parser(*parser_->wire, parser_->error, bytes);
}

template <class Message>
std::optional<Message> HttpReader<Message>::take() {
  if (!parser_->error.empty() || !parser_->wire->is_done()) return {};
  Message out;
  MessageTraits<Message>::copy(out, parser_->wire->release());
  parser_->reset_parser();
  return out;
}

template <class Message>
const std::string& HttpReader<Message>::error() const {
  return parser_->error;
}

template <class Message>
bool HttpReader<Message>::end() {
  boost::system::error_code error;
  if (parser_->wire->got_some() && !parser_->wire->is_done()) parser_->wire->put_eof(error);
  return !error && parser_->wire->is_done();
}

template class HttpReader<Request>;
template class HttpReader<Response>;

const char* name_of(HttpClient::Outcome outcome) {
  constexpr const char* names[] = {"answered",        "connection refused", "no connection",
                                   "connection lost", "no answer in time",  "malformed response"};
  return names[static_cast<std::size_t>(outcome)];
}

HttpClient::HttpClient(Loop& loop, Endpoint server, std::optional<Address> source, std::size_t max_body_bytes)
    : loop_{loop},
      server_{server},
      source_{source},
      max_body_bytes_{max_body_bytes},
      reader_{max_body_bytes} {}

HttpClient::~HttpClient() {
  loop_.cancel(timeout_);
  if (connection_) connection_->abort();
}

void HttpClient::send(const Request& request, Span timeout, Done done) {
  done_ = std::move(done);
  requested_at_ = loop_.now();
  request_bytes_ = write(request, server_.text());
  sent_ = false;
  timeout_ = loop_.after(timeout, [this] { complete(Outcome::timed_out); });
  reused_ = connected();
  if (reused_) {
    sent_ = true;
    connection_->send(request_bytes_);
  } else {
    connect_attempt_ =
        connect(loop_, server_, source_, [this](Fd fd, int error) { handle_connect(std::move(fd), error); });
  }
}

void HttpClient::handle_connect(Fd fd, int error) {
  connect_attempt_.reset();
  if (!fd) return complete(error == ECONNREFUSED ? Outcome::refused : Outcome::no_connection);
  reader_ = HttpReader<Response>{max_body_bytes_};
  connection_ = Connection::make(
      loop_, std::move(fd), {max_body_bytes_ + 16384, 4U << 20U, Span::seconds(120)},
      [this](std::string_view bytes) { return handle_data(bytes); },
      [this](const char*) {
        if (!done_) return;  // the idle keep-alive connection was closed
        if (reader_.end()) {
          handle_data({});
        } else {
          complete(Outcome::connection_lost);
        }
      });
  sent_ = true;
  connection_->send(request_bytes_);
}

std::size_t HttpClient::handle_data(std::string_view bytes) {
  if (!done_) {
    // No request is pending, so these bytes cannot be a response.
    if (!bytes.empty()) connection_->abort();
    return 0;
  }
  const std::size_t consumed = reader_.feed(bytes);
  if (!reader_.error().empty()) {
    complete(Outcome::malformed, reader_.error());
    return 0;
  }
  if (auto response = reader_.take()) {
    loop_.cancel(timeout_);
    if (!response->keep_alive && connection_->open()) connection_->abort();
    Result result{
        Outcome::answered, std::move(*response), requested_at_, monotonic_now() - requested_at_, {}, true};
    std::exchange(done_, {})(std::move(result));
  }
  return consumed;
}

void HttpClient::complete(Outcome outcome, std::string error) {
  loop_.cancel(timeout_);
  connect_attempt_.reset();
  if (connection_) connection_->abort();
  if (done_)
    std::exchange(done_, {})(
        Result{outcome, {}, requested_at_, monotonic_now() - requested_at_, std::move(error), sent_});
}

}  // namespace gorsemount::net
