use fallwell::Code;

#[test]
fn documented_result_codes_match_the_code() {
  let table = include_str!("../../docs/RESULTS.md");
  let rows = table
    .lines()
    .filter(|line| line.starts_with("| F"))
    .map(|line| {
      let mut cells = line.split('|').map(str::trim);
      cells.next();
      (
        cells.next().unwrap_or_default(),
        cells.next().unwrap_or_default(),
      )
    })
    .collect::<Vec<_>>();
  let codes = Code::ALL
    .iter()
    .map(|code| (format!("F{}", code.number()), code.text()))
    .collect::<Vec<_>>();
  let codes = codes
    .iter()
    .map(|(number, text)| (number.as_str(), *text))
    .collect::<Vec<_>>();
  assert_eq!(rows, codes);
}

#[test]
fn every_number_converts_back_to_its_code() {
  for code in Code::ALL {
    assert_eq!(Code::from_number(code.number()), Some(*code));
  }
}
