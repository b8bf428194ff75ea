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

constexpr std::size_t kHeaderMost = 8192;

template <class Message, class Wire>
void copy_out(Message& out, Wire&& wire) {
  for (const auto& field : wire)
    out.headers.emplace_back(std::string{field.name_string()}, std::string{field.value()});
  out.keep_alive = wire.keep_alive();
  out.body = std::move(wire.body());
}

template <class Message>
struct Kind;
template <>
struct Kind<Request> {
  static constexpr bool request = true;
  static void copy(Request& out, http::request<http::string_body>&& wire) {
    out.method = std::string{wire.method_string()}, out.target = std::string{wire.target()};
    copy_out(out, std::move(wire));
  }
};
template <>
struct Kind<Response> {
  static constexpr bool request = false;
  static void copy(Response& out, http::response<http::string_body>&& wire) {
    out.status = wire.result_int();
    copy_out(out, std::move(wire));
  }
};

template <class Wire>
std::string text_of(Wire& wire) {
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
  return text_of(wire);
}

std::string write(const Response& response) {
  http::response<http::string_body> wire;
  wire.result(response.status);
  for (const auto& [key, value] : response.headers) wire.set(key, value);
  wire.keep_alive(response.keep_alive);
  wire.body() = response.body;
  wire.prepare_payload();
  return text_of(wire);
}

template <class Message>
struct HttpReader<Message>::Parser {
  explicit Parser(std::size_t most) : body_most{most} { fresh(); }
  void fresh() {
    wire.emplace();
    wire->eager(true);
    wire->header_limit(kHeaderMost);
    wire->body_limit(body_most);
  }
  std::size_t body_most;
  std::optional<http::parser<Kind<Message>::request, http::string_body>> wire;
  std::string error;
};

template <class Message>
HttpReader<Message>::HttpReader(std::size_t body_most) : parser_{std::make_unique<Parser>(body_most)} {}
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
  Kind<Message>::copy(out, parser_->wire->release());
  parser_->fresh();
  return out;
}

template <class Message>
const std::string& HttpReader<Message>::error() const {
  return parser_->error;
}

template <class Message>
bool HttpReader<Message>::end() {
  boost::system::error_code fault;
  if (parser_->wire->got_some() && !parser_->wire->is_done()) parser_->wire->put_eof(fault);
  return !fault && parser_->wire->is_done();
}

template class HttpReader<Request>;
template class HttpReader<Response>;

const char* name_of(HttpClient::Outcome outcome) {
  constexpr const char* names[] = {"answered",        "connection refused", "no connection",
                                   "connection lost", "no answer in time",  "not understood"};
  return names[static_cast<std::size_t>(outcome)];
}

HttpClient::HttpClient(Loop& loop, Endpoint to, std::optional<Address> from, std::size_t body_most)
    : loop_{loop}, to_{to}, from_{from}, body_most_{body_most}, reader_{body_most} {}

HttpClient::~HttpClient() {
  loop_.cancel(timeout_);
  if (connection_) connection_->abort();
}

void HttpClient::send(Request request, Span timeout, Done done) {
  done_ = std::move(done);
  requested_at_ = loop_.now();
  bytes_ = write(request, to_.text());
  sent_ = false;
  timeout_ = loop_.after(timeout, [this] { end(Outcome::timed_out); });
  reused_ = connected();
  if (reused_) {
    sent_ = true;
    connection_->send(bytes_);
  } else {
    attempt_ = connect(loop_, to_, from_, [this](Fd fd, int fault) { connected_as(std::move(fd), fault); });
  }
}

void HttpClient::connected_as(Fd fd, int fault) {
  attempt_.reset();
  if (!fd) return end(fault == ECONNREFUSED ? Outcome::refused : Outcome::no_connection);
  reader_ = HttpReader<Response>{body_most_};
  connection_ = Connection::make(
      loop_, std::move(fd), {body_most_ + 16384, 4U << 20U, Span::seconds(120)},
      [this](std::string_view bytes) { return data(bytes); },
      [this](const char*) {
        if (!done_) return;  // a kept connection was closed while idle
        if (reader_.end()) {
          data({});
        } else {
          end(Outcome::reset);
        }
      });
  sent_ = true;
  connection_->send(bytes_);
}

std::size_t HttpClient::data(std::string_view bytes) {
  if (!done_) {
    // Nobody asked: what comes is no answer to anything.
    if (!bytes.empty()) connection_->abort();
    return 0;
  }
  const std::size_t used = reader_.feed(bytes);
  if (!reader_.error().empty()) {
    end(Outcome::garbled, reader_.error());
    return 0;
  }
  if (auto response = reader_.take()) {
    loop_.cancel(timeout_);
    if (!response->keep_alive && connection_->open()) connection_->abort();
    Result result{
        Outcome::answered, std::move(*response), requested_at_, monotonic_now() - requested_at_, {}, true};
    std::exchange(done_, {})(std::move(result));
  }
  return used;
}

void HttpClient::end(Outcome outcome, std::string why) {
  loop_.cancel(timeout_);
  attempt_.reset();
  if (connection_) connection_->abort();
  if (done_)
    std::exchange(done_, {})(
        Result{outcome, {}, requested_at_, monotonic_now() - requested_at_, std::move(why), sent_});
}

}  // namespace gorsemount::net
