#include <topaztack/wire/http_router.hpp>

namespace topaztack {

namespace {

    std::string_view nextSegment(std::string_view& path)
    {
        if (!path.empty() && path.front() == '/')
            path.remove_prefix(1);
        const auto end = path.find('/');
        const auto segment = path.substr(0, end);
        path = end == std::string_view::npos ? std::string_view {} : path.substr(end);
        return segment;
    }

} // namespace

void HttpRouter::add(std::string method, std::string pattern, HttpHandler handler)
{
    this->routes.push_back({ std::move(method), std::move(pattern), std::move(handler) });
}

boost::asio::awaitable<void> HttpRouter::handle(HttpExchange& exchange) const
{
    const auto& request = exchange.request();
    const auto path = targetPath(request.target);
    for (const auto& route : this->routes) {
        const bool fits = (route.method.empty() || route.method == request.method) && fitsPattern(route.pattern, path);
        if (!fits)
            continue;
        co_await route.handler(exchange);
        co_return;
    }
    auto response = errorResponse(makeError(ErrorKind::UnknownPath, "no " + request.method + " " + std::string(path)));
    response.headers.push_back({ "Topaztack-Outcome", "not-run" });
    co_await exchange.respond(std::move(response));
}

bool fitsPattern(std::string_view pattern, std::string_view path)
{
    while (!pattern.empty()) {
        const auto wanted = nextSegment(pattern);
        if (wanted == "**")
            return true;
        if (path.empty())
            return false;
        const auto found = nextSegment(path);
        const bool fits = wanted == "{}" ? !found.empty() : wanted == found;
        if (!fits)
            return false;
    }
    return path.empty();
}

std::string_view pathSegment(std::string_view path, std::size_t index)
{
    std::string_view segment;
    for (std::size_t place = 0; place <= index; ++place)
        segment = nextSegment(path);
    return segment;
}

} // namespace topaztack
