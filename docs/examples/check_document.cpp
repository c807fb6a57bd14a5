#include <topaztack/control/document.hpp>

#include <iostream>

int main()
{
    const auto* text = "[pool chapel]\n"
                       "kind = service\n"
                       "[backend chapel-1]\n"
                       "pool = chapel\n"
                       "address = localhost:80\n"
                       "data_centre = bog-chapinero\n";
    std::vector<topaztack::IniProblem> problems;
    topaztack::parseDocument(text, "chapel.ini", problems);
    std::cout << topaztack::toText(problems);
    // chapel.ini:5: address: `localhost:80` is not IP:PORT; IP:PORT of the backend server
    return problems.size() == 1 ? 0 : 1;
}
