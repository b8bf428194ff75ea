// Incremental reader of an HTTP/1.1 response whose body may be endless, based on Boost.Beast's parser.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace gorsemount::net {

class HttpStream {
 public:
  HttpStream();
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  // Returns how many bytes were consumed. The caller passes the rest again, followed by new bytes.
  std::size_t feed(std::string_view bytes);
  void end();                             // the peer closed, which completes a body without a declared length
  [[nodiscard]] unsigned status() const;  // 0 until the headers are complete
  [[nodiscard]] std::string take();       // body bytes received since the last call
  [[nodiscard]] bool done() const;        // the body is complete
  [[nodiscard]] const std::string& error() const;  // not empty: the peer sent invalid HTTP

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace gorsemount::net
