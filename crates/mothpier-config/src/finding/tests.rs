use super::*;

#[test]
fn lines_and_columns_count_from_one_and_in_characters() {
    assert_eq!(line_and_column("ab\ncé x", 0), (1, 1));
    assert_eq!(line_and_column("ab\ncé x", 3), (2, 1));
    assert_eq!(line_and_column("ab\ncé x", 6), (2, 3));
    assert_eq!(line_and_column("ab\ncé x", 5), (2, 2), "in the middle of a character");
    assert_eq!(line_and_column("ab", 99), (1, 3));
}
