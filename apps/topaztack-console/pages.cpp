#include "pages.hpp"

#include <topaztack/control/document.hpp>

#include <boost/json.hpp>

namespace topaztack::console {

namespace json = boost::json;

namespace {

    constexpr std::string_view style = R"(
:root{color-scheme:light}*{box-sizing:border-box}
body{margin:0;font:16px/1.5 system-ui,sans-serif;color:#1b1b1b;background:#f6f6f3}
header{background:#17324d;padding:.5rem 1rem}header a{color:#fff;margin-right:1rem;display:inline-block;padding:.4rem 0}
main{max-width:60rem;margin:0 auto;padding:1rem}
a:focus,input:focus,button:focus,summary:focus{outline:3px solid #b35900;outline-offset:2px}
fieldset{border:1px solid #8a8a85;background:#fff;margin:0 0 1rem;padding:.75rem;border-radius:4px}
legend{font-weight:600;padding:0 .4rem}label{display:block;font-weight:600;margin-top:.6rem}
.help{color:#4a4a4a;font-size:.875rem;margin:0}.error{color:#9b1c1c;font-weight:600;margin:.1rem 0}
input[type=text],input[type=password]{width:100%;max-width:26rem;padding:.45rem;border:1px solid #6b6b66;border-radius:3px;font:inherit}
input[aria-invalid=true]{border:2px solid #9b1c1c}button{background:#17324d;color:#fff;border:0;border-radius:3px;padding:.6rem 1.1rem;font:inherit}
pre{background:#fff;border:1px solid #8a8a85;padding:.75rem;overflow-x:auto}
.table{overflow-x:auto}table{border-collapse:collapse;background:#fff;width:100%}th,td{text-align:left;padding:.4rem .6rem;border:1px solid #b5b5b0}
.good{color:#145a2a;font-weight:600}.bad{color:#9b1c1c;font-weight:600}
@media(max-width:36rem){main{padding:.6rem}button{width:100%}}
)";

    std::string toHtml(const json::value& value)
    {
        if (value.is_string())
            return escapeHtml(value.as_string());
        return escapeHtml(json::serialize(value));
    }

    std::string hiddenInput(std::string_view name, std::string_view value)
    {
        return "<input type=\"hidden\" name=\"" + escapeHtml(name) + "\" value=\"" + escapeHtml(value) + "\">\n";
    }

    std::string textInput(const std::string& name, std::string_view label, std::string_view value,
        std::string_view fallback, std::string_view help, const std::string& error)
    {
        const auto id = escapeHtml(name);
        std::string html = "<label for=\"" + id + "\">" + escapeHtml(label) + "</label>\n";
        html += "<p class=\"help\" id=\"" + id + ".help\">" + escapeHtml(help) + "</p>\n";
        if (!error.empty())
            html += "<p class=\"error\" id=\"" + id + ".error\">" + escapeHtml(error) + "</p>\n";
        html += "<input type=\"text\" id=\"" + id + "\" name=\"" + id + "\" value=\"" + escapeHtml(value) + "\"";
        if (fallback != requiredKey)
            html += " placeholder=\"" + escapeHtml(fallback) + "\"";
        html += " aria-describedby=\"" + id + ".help" + (error.empty() ? "" : " " + id + ".error") + "\"";
        if (!error.empty())
            html += " aria-invalid=\"true\"";
        return html + ">\n";
    }

    std::string findOrEmpty(const std::map<std::string, std::string>& values, std::string_view key)
    {
        const auto found = values.find(std::string(key));
        return found == values.end() ? std::string {} : found->second;
    }

    std::string sectionFieldset(const FormSection& section, std::size_t index)
    {
        const auto prefix = "s" + std::to_string(index) + ".";
        const bool isNew = section.kind != "limits" && section.name.empty() && section.values.empty();
        const auto heading = section.name.empty() ? section.kind : section.kind + " " + section.name;
        const auto title = isNew ? "Add a " + section.kind : heading;
        std::string html
            = "<fieldset><legend>" + escapeHtml(title) + "</legend>\n" + hiddenInput(prefix + "kind", section.kind);
        const auto sectionError = findOrEmpty(section.errors, "");
        if (!sectionError.empty())
            html += "<p class=\"error\">" + escapeHtml(sectionError) + "</p>\n";
        if (section.kind != "limits")
            html += textInput(
                prefix + "name", "name", section.name, "", "letters, digits, - _ .; leave empty to add nothing", "");
        for (const auto& key : formKeysOf(section.kind))
            html += textInput(prefix + "key." + std::string(key.key), key.key, findOrEmpty(section.values, key.key),
                key.fallback, key.meaning, findOrEmpty(section.errors, key.key));
        if (section.kind != "limits" && !isNew)
            html += "<label><input type=\"checkbox\" name=\"" + prefix + "remove\" value=\"yes\"> remove this "
                + section.kind + "</label>\n";
        return html + "</fieldset>\n";
    }

    std::string tableRow(std::initializer_list<std::string> cells)
    {
        std::string html = "<tr>";
        for (const auto& cell : cells)
            html += "<td>" + cell + "</td>";
        return html + "</tr>\n";
    }

} // namespace

std::string escapeHtml(std::string_view text)
{
    std::string html;
    for (const char c : text) {
        if (c == '&')
            html += "&amp;";
        else if (c == '<')
            html += "&lt;";
        else if (c == '>')
            html += "&gt;";
        else if (c == '"')
            html += "&quot;";
        else if (c == '\'')
            html += "&#39;";
        else
            html += c;
    }
    return html;
}

std::string renderPage(std::string_view title, std::string_view body)
{
    std::string html = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                       "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\"><title>";
    html += escapeHtml(title) + " - topaztack</title><style>" + std::string(style)
        + "</style></head>\n<body><header><nav>"
        + "<a href=\"/\">Status</a><a href=\"/edit\">Configuration</a><a href=\"/vms\">VMs</a>"
        + "<a href=\"/trainers\">Trainers</a><a href=\"/login\">Token</a></nav></header>\n<main><h1>"
        + escapeHtml(title) + "</h1>\n" + std::string(body) + "</main></body></html>\n";
    return html;
}

std::string statusPage(const json::value& status)
{
    const bool isInForceEverywhere = status.at("in_force_everywhere").as_bool();
    std::string body = "<p>Accepted: version " + toHtml(status.at("accepted"))
        + " (source: " + toHtml(status.at("accepted_from")) + ").</p>\n";
    body += isInForceEverywhere ? "<p class=\"good\">In force on every VM that is known.</p>\n"
                                : "<p class=\"bad\">Not confirmed to be in force on every VM.</p>\n";
    body += "<div class=\"table\"><table><thead><tr><th scope=\"col\">Data centre</th><th scope=\"col\">In force "
            "on</th></tr></thead><tbody>\n";
    for (const auto& dataCentre : status.at("data_centres").as_array())
        body += tableRow({ toHtml(dataCentre.at("name")),
            toHtml(dataCentre.at("in_force")) + " of " + toHtml(dataCentre.at("of")) + " VMs" });
    body += "</tbody></table></div>\n";
    std::string names;
    for (const auto& name : status.at("unreachable").as_array())
        names += (names.empty() ? "" : ", ") + toHtml(name);
    if (!names.empty())
        body += "<p class=\"bad\">Did not answer: " + names + "</p>\n";
    return renderPage("Status", body);
}

std::string vmsPage(const json::value& status)
{
    std::string body = "<div class=\"table\"><table><thead><tr><th scope=\"col\">VM</th><th scope=\"col\">Data "
                       "centre</th><th scope=\"col\">State</th><th scope=\"col\">In force</th></tr></thead><tbody>\n";
    for (const auto& dataCentre : status.at("data_centres").as_array()) {
        for (const auto& vm : dataCentre.at("vms").as_array()) {
            const bool isReachable = vm.at("reachable").as_bool();
            body += tableRow({ toHtml(vm.at("vm")), toHtml(dataCentre.at("name")), toHtml(vm.at("state")),
                isReachable ? "version " + toHtml(vm.at("in_force")) : "unknown: no answer" });
        }
    }
    return renderPage("VMs", body + "</tbody></table></div>\n");
}

std::string trainersPage(std::string_view document, const json::value& state)
{
    std::vector<IniProblem> problems;
    std::string body
        = "<div class=\"table\"><table><thead><tr><th scope=\"col\">Trainer</th><th scope=\"col\">Pool</th>"
          "<th scope=\"col\">Staleness bound</th><th scope=\"col\">Weight</th></tr></thead><tbody>\n";
    for (const auto& trainer : parseDocument(document, "document", problems).trainers)
        body += tableRow({ escapeHtml(trainer.name.value()), escapeHtml(trainer.pool.value()),
            std::to_string(trainer.stalenessBound) + " versions", std::to_string(trainer.weight) });
    body += "</tbody></table></div>\n<h2>State of the VM that answered</h2>\n<pre tabindex=\"0\">";
    const auto* trainers = state.is_object() ? state.as_object().if_contains("trainers") : nullptr;
    return renderPage("Trainers", body + (trainers ? toHtml(*trainers) : "") + "</pre>\n");
}

std::string editPage(const std::vector<FormSection>& sections, std::uint64_t base, std::string_view csrfToken)
{
    std::string body = "<p>Based on version " + std::to_string(base)
        + ". Nothing changes before you accept the document on the next page.</p>\n"
          "<form method=\"post\" action=\"/review\">\n";
    body += hiddenInput("anti_forgery", csrfToken) + hiddenInput("base", std::to_string(base));
    for (std::size_t index = 0; index < sections.size(); ++index)
        body += sectionFieldset(sections[index], index);
    return renderPage("Configuration", body + "<button>Review the document</button></form>\n");
}

std::string reviewPage(const Review& review, std::string_view csrfToken)
{
    std::string body = "<h2>Difference from version " + std::to_string(review.base) + "</h2>\n<pre tabindex=\"0\">"
        + escapeHtml(review.difference.empty() ? "no differences" : review.difference)
        + "</pre>\n<h2>Full document</h2>\n<pre tabindex=\"0\">" + escapeHtml(review.text) + "</pre>\n"
        + "<form method=\"post\" action=\"/accept\">\n" + hiddenInput("anti_forgery", csrfToken)
        + hiddenInput("base", std::to_string(review.base)) + hiddenInput("operation", review.operation)
        + hiddenInput("document", review.text);
    return renderPage(
        "Review", body + "<button>Accept as version " + std::to_string(review.base + 1) + "</button></form>\n");
}

std::string resultPage(std::string_view message, const Review& review, bool isUnknown, std::string_view csrfToken)
{
    std::string body = "<p>" + escapeHtml(message) + "</p>\n";
    if (isUnknown) {
        body += "<p class=\"bad\">It is not known whether the document was accepted. Asking again is safe, because it "
                "repeats the same operation.</p>\n<form method=\"post\" action=\"/accept\">\n"
            + hiddenInput("anti_forgery", csrfToken) + hiddenInput("base", std::to_string(review.base))
            + hiddenInput("operation", review.operation) + hiddenInput("document", review.text)
            + "<button>Ask again</button></form>\n";
    }
    return renderPage("Result", body + "<p><a href=\"/\">Show where it is in force</a></p>\n");
}

std::string loginPage(std::string_view csrfToken, std::string_view message)
{
    const auto note = message.empty() ? std::string {} : "<p class=\"error\">" + escapeHtml(message) + "</p>\n";
    return renderPage("Token",
        note + "<form method=\"post\" action=\"/login\">\n" + hiddenInput("anti_forgery", csrfToken)
            + "<label for=\"token\">Operator token</label>\n<input type=\"password\" id=\"token\" name=\"token\" "
              "autocomplete=\"current-password\">\n<p><button>Use this token</button></p></form>\n");
}

std::string messagePage(std::string_view title, std::string_view message)
{
    return renderPage(title, "<p>" + escapeHtml(message) + "</p>\n");
}

} // namespace topaztack::console
